package io.carawaylift.host;

import io.carawaylift.decisions.fleet.EndpointEntry;
import io.carawaylift.decisions.fleet.EndpointStatus;
import io.carawaylift.decisions.fleet.Fleet;
import io.carawaylift.decisions.route.RouteTable;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.platform.store.ConfigurationDecoder;
import io.carawaylift.platform.store.EndpointDecoder;
import io.carawaylift.platform.store.ObjectStoreClient;
import io.carawaylift.platform.store.StoreItem;
import io.carawaylift.platform.store.StoreKinds;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What the host believes of the configuration, the endpoints and the evacuated zones, learned from the store. Used on the event
 * loop only.
 */
final class Beliefs {
    private final Fleet fleet;
    private final HostLoop loop;
    private final EventLog log;
    private final EndpointDecoder endpoints;
    private final List<KindWatcher> watchers;
    private final Map<String, HostLoop.Timer> removals = new HashMap<>();
    private final Set<String> evacuated = new HashSet<>();
    private Consumer<EndpointStatus> onUnusable = endpoint -> {};
    private Runnable onChange = () -> {};
    private RouteTable table;
    private boolean endpointsKnown;
    private boolean evacuationsKnown;

    Beliefs(
            Fleet fleet,
            ObjectStoreClient store,
            StoreRetries retries,
            StoreRelay relay,
            HostLoop loop,
            EventLog log,
            Map<String, String> regionsByZone) {
        this.fleet = fleet;
        this.loop = loop;
        this.log = log;
        this.endpoints = new EndpointDecoder(regionsByZone);
        this.watchers = List.of(
                new KindWatcher(StoreKinds.CONFIGURATIONS, store, retries, relay, loop, log, new Configurations()),
                new KindWatcher(StoreKinds.ENDPOINTS, store, retries, relay, loop, log, new Endpoints()),
                new KindWatcher(StoreKinds.EVACUATED_ZONES, store, retries, relay, loop, log, new Evacuations()));
    }

    /** Sets what is done when an endpoint is no longer to be used. */
    void onUnusable(Consumer<EndpointStatus> action) {
        onUnusable = action;
    }

    /** Sets what is done after any change. */
    void onChange(Runnable action) {
        onChange = action;
    }

    void start() {
        watchers.forEach(KindWatcher::start);
    }

    void stop() {
        watchers.forEach(KindWatcher::stop);
    }

    /** Returns the newest known configuration, or empty if none is known yet. */
    Optional<RouteTable> table() {
        return Optional.ofNullable(table);
    }

    /** Returns whether enough is known to forward requests. */
    boolean complete() {
        return table != null && endpointsKnown && evacuationsKnown;
    }

    private final class Configurations implements KindWatcher.Listener {
        @Override
        public void changed(StoreItem item) {
            if (!item.name().equals(StoreKinds.CONFIGURATION_NAME)) {
                return;
            }
            RouteTable newer;
            try {
                newer = ConfigurationDecoder.decode(item.value());
            } catch (CarawayliftException e) {
                log.event(
                        "configuration.refused",
                        line -> line.put("revision", item.revision()).put("reason", String.valueOf(e.getMessage())));
                return;
            }
            if (table != null && newer.version() < table.version()) {
                log.event(
                        "configuration.ignored",
                        line -> line.put("version", newer.version()).put("inForce", table.version()));
                return;
            }
            table = newer;
            log.event(
                    "configuration.in_force",
                    line -> line.put("version", newer.version())
                            .put("revision", item.revision())
                            .put("routes", newer.size()));
            onChange.run();
        }

        @Override
        public void deleted(String name, long graceMillis) {
            log.event("configuration.deleted", line -> line.put("name", name));
        }

        @Override
        public void synchronizedWithStore() {}
    }

    private final class Endpoints implements KindWatcher.Listener {
        @Override
        public void changed(StoreItem item) {
            Optional<EndpointEntry> decoded = endpoints.decode(item);
            if (decoded.isEmpty()) {
                log.event(
                        "endpoint.entry_ignored",
                        line -> line.put("endpoint", item.name()).put("revision", item.revision()));
                return;
            }
            EndpointEntry entry = decoded.get();
            cancelRemoval(entry.id());
            Optional<EndpointStatus> before = fleet.find(entry.id());
            boolean wasUsable = before.isPresent() && fleet.isListedForUse(before.get());
            if (before.isPresent() && !before.get().entry().sameIncarnation(entry)) {
                onUnusable.accept(before.get());
            }
            fleet.put(entry, System.nanoTime());
            log.event(
                    "endpoint.listed",
                    line -> line.put("endpoint", entry.id())
                            .put("service", entry.service())
                            .put("zone", entry.zone())
                            .put("draining", entry.draining())
                            .put("coldMs", entry.coldMillis())
                            .put("revision", item.revision()));
            if (wasUsable && entry.draining()) {
                fleet.find(entry.id()).ifPresent(onUnusable);
            }
            onChange.run();
        }

        @Override
        public void deleted(String name, long graceMillis) {
            if (graceMillis > 0) {
                removals.put(name, loop.after(graceMillis, () -> remove(name, "not back after the store returned")));
            } else {
                remove(name, "deleted");
            }
        }

        @Override
        public void synchronizedWithStore() {
            endpointsKnown = true;
            onChange.run();
        }

        private void remove(String name, String reason) {
            cancelRemoval(name);
            Optional<EndpointStatus> status = fleet.find(name);
            if (status.isEmpty()) {
                return;
            }
            fleet.remove(name);
            log.event("endpoint.removed", line -> line.put("endpoint", name).put("reason", reason));
            onUnusable.accept(status.get());
            onChange.run();
        }

        private void cancelRemoval(String name) {
            HostLoop.Timer removal = removals.remove(name);
            if (removal != null) {
                removal.cancel();
            }
        }
    }

    private final class Evacuations implements KindWatcher.Listener {
        @Override
        public void changed(StoreItem item) {
            if (evacuated.add(item.name())) {
                update(item.name(), true);
            }
        }

        @Override
        public void deleted(String name, long graceMillis) {
            if (evacuated.remove(name)) {
                update(name, false);
            }
        }

        @Override
        public void synchronizedWithStore() {
            evacuationsKnown = true;
            onChange.run();
        }

        private void update(String zone, boolean isEvacuated) {
            fleet.setEvacuatedZones(evacuated);
            log.event("zone.evacuation", line -> line.put("zone", zone).put("evacuated", isEvacuated));
            if (isEvacuated) {
                fleet.all().stream()
                        .filter(endpoint -> endpoint.entry().zone().equals(zone))
                        .forEach(onUnusable);
            }
            onChange.run();
        }
    }
}

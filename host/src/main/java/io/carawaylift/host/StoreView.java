package io.carawaylift.host;

import io.carawaylift.decisions.currency.HeldRemovals;
import io.carawaylift.decisions.customer.ClockReading;
import io.carawaylift.decisions.customer.CustomerDirectory;
import io.carawaylift.decisions.fleet.EndpointEntry;
import io.carawaylift.decisions.fleet.EndpointRegistry;
import io.carawaylift.decisions.fleet.EndpointStatus;
import io.carawaylift.decisions.replica.StorePosition;
import io.carawaylift.decisions.replica.WriterMark;
import io.carawaylift.decisions.route.RouteTable;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.platform.store.ConfigurationDecoder;
import io.carawaylift.platform.store.EndpointDecoder;
import io.carawaylift.platform.store.ObjectStoreClient;
import io.carawaylift.platform.store.ObjectStoreClient.ListMode;
import io.carawaylift.platform.store.StoreItem;
import io.carawaylift.platform.store.StoreKinds;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The view of the configuration, the endpoints and the evacuated zones that the host reads from the store. Used on the
 * event loop only.
 */
final class StoreView {
    /** Delay until the removal of an entry that expired is known. */
    private static final Duration RENEWAL_DELAY = Duration.ofSeconds(1);

    private final EndpointRegistry registry;
    private final EventLog log;
    private final EndpointDecoder endpointDecoder;
    private final List<KindWatcher> watchers;
    private final KindWatcher endpoints;
    private final HeldRemovals heldEvacuations = new HeldRemovals();
    private final DelayedRemovals endpointRemovals;
    private final DelayedRemovals evacuationRemovals;
    private final Duration restoredEntryLifetime;
    private final Set<String> evacuated = new HashSet<>();
    private final Set<String> ignoredEntries = new HashSet<>();
    private Consumer<EndpointStatus> onUnusable = endpoint -> {};
    private Runnable onChange = () -> {};
    private ConfigurationFreshness freshness;
    private RouteTable table;
    private CustomerDirectory customers;
    private boolean endpointsKnown;
    private boolean evacuationsKnown;

    StoreView(
            EndpointRegistry registry,
            ObjectStoreClient store,
            StoreRetries retries,
            StoreRelay relay,
            HostLoop loop,
            EventLog log,
            HostOptions options) {
        this.registry = registry;
        this.log = log;
        // A host that starts does not know whether the first configuration replaced one with customers. Where
        // revocation is
        // strict, there are customers.
        this.customers = options.bounds().strictRevocation() ? CustomerDirectory.REMOVED : CustomerDirectory.EMPTY;
        this.endpointDecoder = new EndpointDecoder(options.regionsByZone());
        this.restoredEntryLifetime = options.bounds().entryExpiry().plus(RENEWAL_DELAY);
        this.endpointRemovals = new DelayedRemovals(loop);
        this.evacuationRemovals = new DelayedRemovals(loop);
        this.endpoints = new KindWatcher(
                StoreKinds.ENDPOINTS, ListMode.MAY_BE_OLD, store, retries, relay, loop, log, new EndpointListener());
        this.watchers = List.of(
                new KindWatcher(
                        StoreKinds.CONFIGURATIONS,
                        ListMode.LATEST,
                        store,
                        retries,
                        relay,
                        loop,
                        log,
                        new ConfigurationListener()),
                endpoints,
                new KindWatcher(
                        StoreKinds.EVACUATED_ZONES,
                        ListMode.LATEST,
                        store,
                        retries,
                        relay,
                        loop,
                        log,
                        new EvacuationListener()));
    }

    /** Sets the action that runs for an endpoint that must not be used any more. */
    void onUnusable(Consumer<EndpointStatus> action) {
        onUnusable = action;
    }

    /** Sets the action that runs after each change. */
    void onChange(Runnable action) {
        onChange = action;
    }

    /** Sets what receives the times at which the known configuration was that of the store; before the start. */
    void setFreshness(ConfigurationFreshness configuration) {
        freshness = configuration;
    }

    void start() {
        watchers.forEach(KindWatcher::start);
    }

    void stop() {
        watchers.forEach(KindWatcher::stop);
    }

    /** Returns the latest valid configuration, or empty if none is known yet. */
    Optional<RouteTable> table() {
        return Optional.ofNullable(table);
    }

    /** Returns the customers of the latest valid configuration, none if no configuration is known yet. */
    CustomerDirectory customers() {
        return customers;
    }

    /** Returns the number of entries of endpoints in the store that cannot be used. */
    int ignoredEntries() {
        return ignoredEntries.size();
    }

    /** Returns whether enough is known to forward requests. */
    boolean isComplete() {
        return table != null && endpointsKnown && evacuationsKnown;
    }

    private final class ConfigurationListener implements KindListener {
        @Override
        public void changed(StoreItem item) {
            if (!item.name().equals(StoreKinds.CONFIGURATION_NAME)) {
                return;
            }
            RouteTable decodedTable;
            try {
                decodedTable = ConfigurationDecoder.decode(item.value());
            } catch (CarawayliftException e) {
                log.event(
                        "configuration.refused",
                        line -> line.put("revision", item.revision()).put("reason", String.valueOf(e.getMessage())));
                return;
            }
            if (table != null && decodedTable.version() < table.version()) {
                log.event(
                        "configuration.ignored",
                        line -> line.put("version", decodedTable.version()).put("inForce", table.version()));
                return;
            }
            table = decodedTable;
            customers = decodedTable.customers().after(customers);
            log.event(
                    "configuration.in_force",
                    line -> line.put("version", decodedTable.version())
                            .put("revision", item.revision())
                            .put("routes", decodedTable.size())
                            .put("keys", customers.keyUse().name().toLowerCase(Locale.ROOT))
                            .put("customers", customers.all().size()));
            CustomerEvents.log(customers, log);
            onChange.run();
        }

        @Override
        public void deleted(Removal removal) {
            log.event("configuration.deleted", line -> line.put("name", removal.name()));
        }

        @Override
        public Optional<WriterMark> mark(StoreItem item) {
            return ConfigurationDecoder.mark(item);
        }

        @Override
        public void synchronizedWithStore() {}

        @Override
        public void proven(ClockReading at) {
            freshness.proven(at);
        }

        @Override
        public boolean isOwnProofDue() {
            return freshness.isOwnProofDue();
        }

        @Override
        public Duration maxWatchWait() {
            return freshness.maxWatchWait();
        }
    }

    private final class EndpointListener implements KindListener {
        @Override
        public void changed(StoreItem item) {
            Optional<EndpointEntry> decoded = endpointDecoder.decode(item);
            if (decoded.isEmpty()) {
                log.event(
                        "endpoint.entry_ignored",
                        line -> line.put("endpoint", item.name()).put("revision", item.revision()));
                ignoredEntries.add(item.name());
                remove(item.name(), "its entry is no longer valid");
                return;
            }
            ignoredEntries.remove(item.name());
            EndpointEntry entry = decoded.get();
            endpointRemovals.cancel(entry.id());
            Optional<EndpointStatus> before = registry.find(entry.id());
            boolean wasUsable = before.isPresent() && registry.isUsable(before.get());
            if (before.isPresent() && !before.get().entry().sameIncarnation(entry)) {
                onUnusable.accept(before.get());
            }
            registry.put(entry, System.nanoTime());
            log.event(
                    "endpoint.listed",
                    line -> line.put("endpoint", entry.id())
                            .put("service", entry.service())
                            .put("zone", entry.zone())
                            .put("draining", entry.draining())
                            .put("coldMs", entry.remainingColdMillis())
                            .put("revision", item.revision()));
            if (wasUsable && entry.draining()) {
                registry.find(entry.id()).ifPresent(onUnusable);
            }
            onChange.run();
        }

        @Override
        public void deleted(Removal removal) {
            String name = removal.name();
            ignoredEntries.remove(name);
            String reason = removal.graceMillis() > 0 ? "not back after the store returned" : "deleted";
            endpointRemovals.remove(name, removal.graceMillis(), () -> remove(name, reason));
        }

        @Override
        public Optional<WriterMark> mark(StoreItem item) {
            return EndpointDecoder.mark(item);
        }

        @Override
        public Optional<Duration> restoredLifetime() {
            return Optional.of(restoredEntryLifetime);
        }

        @Override
        public void synchronizedWithStore() {
            endpointsKnown = true;
            onChange.run();
        }

        @Override
        public void caughtUp(StorePosition position) {
            heldEvacuations.release(position).forEach(StoreView.this::endEvacuation);
        }

        private void remove(String name, String reason) {
            endpointRemovals.cancel(name);
            Optional<EndpointStatus> status = registry.find(name);
            if (status.isEmpty()) {
                return;
            }
            registry.remove(name);
            log.event("endpoint.removed", line -> line.put("endpoint", name).put("reason", reason));
            onUnusable.accept(status.get());
            onChange.run();
        }
    }

    private final class EvacuationListener implements KindListener {
        @Override
        public void changed(StoreItem item) {
            evacuationRemovals.cancel(item.name());
            heldEvacuations.cancel(item.name());
            if (evacuated.add(item.name())) {
                updateEvacuation(item.name(), true);
            }
        }

        @Override
        public void deleted(Removal removal) {
            // The operators write an evacuation again that a restored store has lost.
            evacuationRemovals.remove(
                    removal.name(), removal.lost() ? removal.graceMillis() : 0, () -> removed(removal));
        }

        private void removed(Removal removal) {
            if (!removal.known().isAfter(endpoints.storePosition())) {
                endEvacuation(removal.name());
                return;
            }
            // Endpoints of the zone may have become cold before the evacuation was removed.
            log.event(
                    "zone.evacuation_held",
                    line -> line.put("zone", removal.name())
                            .put("removedAt", removal.known().revision())
                            .put("endpointsAt", endpoints.storePosition().revision()));
            heldEvacuations.hold(removal.name(), removal.known());
            endpoints.catchUp(removal.known());
        }

        @Override
        public void synchronizedWithStore() {
            evacuationsKnown = true;
            onChange.run();
        }
    }

    private void endEvacuation(String zone) {
        if (evacuated.remove(zone)) {
            updateEvacuation(zone, false);
        }
    }

    private void updateEvacuation(String zone, boolean isEvacuated) {
        registry.setEvacuatedZones(evacuated);
        log.event("zone.evacuation", line -> line.put("zone", zone).put("evacuated", isEvacuated));
        if (isEvacuated) {
            registry.all().stream()
                    .filter(endpoint -> endpoint.entry().zone().equals(zone))
                    .forEach(onUnusable);
        }
        onChange.run();
    }
}

package io.carawaylift.decisions.fleet;

import io.carawaylift.decisions.admission.EndpointHealth;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Holds all endpoints that the platform lists, and the evacuated zones. Times are monotonic nanoseconds. Not
 * thread-safe.
 */
public final class EndpointRegistry {
    private final Map<String, EndpointStatus> endpoints = new LinkedHashMap<>();
    private final Map<String, Map<String, EndpointStatus>> byService = new HashMap<>();
    private final EndpointHealth health = new EndpointHealth();
    private Set<String> evacuatedZones = Set.of();
    private long changeCount;

    /** Creates a registry without endpoints. */
    public EndpointRegistry() {}

    /** Adds an endpoint or updates it to a newer entry. */
    public void put(EndpointEntry entry, long nowNanos) {
        changeCount++;
        EndpointStatus status = endpoints.get(entry.id());
        if (status == null) {
            status = new EndpointStatus(entry, nowNanos);
            endpoints.put(entry.id(), status);
        } else {
            if (!status.entry().service().equals(entry.service())) {
                byService
                        .getOrDefault(status.entry().service(), new HashMap<>())
                        .remove(entry.id());
            }
            status.update(entry, nowNanos);
        }
        byService
                .computeIfAbsent(entry.service(), service -> new LinkedHashMap<>())
                .put(entry.id(), status);
    }

    /** Removes an endpoint; does nothing if the id is unknown. */
    public void remove(String id) {
        changeCount++;
        EndpointStatus status = endpoints.remove(id);
        if (status != null) {
            byService.get(status.entry().service()).remove(id);
            health.retain(endpoints.keySet());
        }
    }

    /** Returns the status of an endpoint, empty if the id is unknown. */
    public Optional<EndpointStatus> find(String id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /** Returns all endpoints. */
    public Collection<EndpointStatus> all() {
        return endpoints.values();
    }

    /** Sets the zones whose endpoints get no requests. */
    public void setEvacuatedZones(Set<String> zones) {
        changeCount++;
        evacuatedZones = Set.copyOf(zones);
    }

    /** Returns the zones whose endpoints get no requests. */
    public Set<String> evacuatedZones() {
        return evacuatedZones;
    }

    /** Returns a counter that increases whenever the lists of usable endpoints may have changed. */
    long changeCount() {
        return changeCount;
    }

    /** Returns the health tracker, which suspends failing endpoints. */
    public EndpointHealth health() {
        return health;
    }

    /**
     * Returns whether the endpoint is listed, not draining and outside the evacuated zones. Its health is not
     * considered.
     */
    public boolean isUsable(EndpointStatus status) {
        EndpointEntry entry = status.entry();
        return endpoints.get(entry.id()) == status && !entry.draining() && !evacuatedZones.contains(entry.zone());
    }

    /** Returns the endpoints of a service for which {@link #isUsable} holds. */
    public List<EndpointStatus> usable(String service) {
        List<EndpointStatus> usable = new ArrayList<>();
        for (EndpointStatus status : byService.getOrDefault(service, Map.of()).values()) {
            if (isUsable(status)) {
                usable.add(status);
            }
        }
        return usable;
    }
}

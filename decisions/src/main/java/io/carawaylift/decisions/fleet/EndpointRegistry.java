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
    private static final GroupLoad NO_REPORTS = new GroupLoad();

    /** Bound on the remembered announcements: several times the endpoints of the largest deployment's services. */
    private static final int MAX_LEAVING = 8192;

    private final Map<String, EndpointStatus> endpoints = new LinkedHashMap<>();
    private final Map<String, Map<String, EndpointStatus>> byService = new HashMap<>();
    private final Map<String, Map<String, GroupLoad>> groups = new HashMap<>();
    private final Map<String, List<EndpointStatus>> usableByService = new HashMap<>();
    private long usableChangeCount;
    private final EndpointHealth health = new EndpointHealth();

    /**
     * Start times of the endpoints that announced their end, by id. Kept without an entry too, since a restored store
     * may list an endpoint again that has already left.
     */
    private final Map<String, Long> leaving = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_LEAVING;
        }
    };

    private Set<String> evacuatedZones = Set.of();
    private long changeCount;
    private final boolean fixedPace;

    /** Creates a registry without endpoints. */
    public EndpointRegistry() {
        this(false);
    }

    /** Creates a registry without endpoints; a fixed pace ignores how cold endpoints respond, for comparison. */
    public EndpointRegistry(boolean fixedPace) {
        this.fixedPace = fixedPace;
    }

    /** Adds an endpoint or updates it to a newer entry. */
    public void put(EndpointEntry entry, long nowNanos) {
        EndpointStatus status = endpoints.get(entry.id());
        if (status == null || !isSamePlace(status.entry(), entry)) {
            changeCount++;
        }
        if (status == null) {
            status = new EndpointStatus(entry, fixedPace, nowNanos);
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
        status.setGroup(groups.computeIfAbsent(entry.service(), service -> new HashMap<>())
                .computeIfAbsent(entry.region(), region -> new GroupLoad()));
    }

    /** Returns whether the order of endpoints and their usability are the same with both entries. */
    private static boolean isSamePlace(EndpointEntry one, EndpointEntry other) {
        return one.sameIncarnation(other)
                && one.service().equals(other.service())
                && one.zone().equals(other.zone())
                && one.region().equals(other.region())
                && one.draining() == other.draining();
    }

    /** Returns what the endpoints of a service in a region reported together. */
    GroupLoad group(String service, String region) {
        return groups.getOrDefault(service, Map.of()).getOrDefault(region, NO_REPORTS);
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

    /**
     * Records that an endpoint announced its end: it is not usable any more until its id is listed with another start.
     *
     * @param startedMillis start of the incarnation that announced it
     * @return whether this was not known yet
     */
    public boolean markLeaving(String id, long startedMillis) {
        Long known = leaving.get(id);
        if (known != null && known >= startedMillis) {
            return false;
        }
        leaving.put(id, startedMillis);
        changeCount++;
        return true;
    }

    /** Records that an endpoint requested to get nothing from this host until the given time; ignores unknown ids. */
    public void silence(String id, long untilNanos, long nowNanos) {
        EndpointStatus status = endpoints.get(id);
        if (status != null) {
            status.silence(untilNanos, nowNanos);
        }
    }

    /** Returns whether the incarnation of an endpoint that its entry describes announced its end. */
    public boolean isLeaving(EndpointEntry entry) {
        Long startedMillis = leaving.get(entry.id());
        return startedMillis != null && startedMillis == entry.startedMillis();
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
     * Returns whether the endpoint is listed, neither draining nor leaving, and outside the evacuated zones. Its health
     * and whether it is silenced are not considered.
     */
    public boolean isUsable(EndpointStatus status) {
        EndpointEntry entry = status.entry();
        return endpoints.get(entry.id()) == status
                && !entry.draining()
                && !evacuatedZones.contains(entry.zone())
                && !isLeaving(entry);
    }

    /** Returns the endpoints of a service for which {@link #isUsable} holds. The list is unmodifiable. */
    public List<EndpointStatus> usable(String service) {
        if (usableChangeCount != changeCount) {
            usableByService.clear();
            usableChangeCount = changeCount;
        }
        return usableByService.computeIfAbsent(service, this::computeUsable);
    }

    private List<EndpointStatus> computeUsable(String service) {
        List<EndpointStatus> usable = new ArrayList<>();
        for (EndpointStatus status : byService.getOrDefault(service, Map.of()).values()) {
            if (isUsable(status)) {
                usable.add(status);
            }
        }
        return List.copyOf(usable);
    }
}

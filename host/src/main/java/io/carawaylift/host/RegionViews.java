package io.carawaylift.host;

import io.carawaylift.peer.Message.HostReport;
import io.carawaylift.peer.Message.RegionReport;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * The living hosts of all regions: those that report to this host, and those that the relays report. What is older than a
 * given age counts as gone. Used on the event loop only.
 */
final class RegionViews {
    private final String ownHost;
    private final String ownRegion;
    private final LongSupplier maxAgeNanos;
    private final Map<String, ReceivedReport> directReports = new HashMap<>();
    private final Map<String, Map<String, View>> views = new HashMap<>();

    private record ReceivedReport(HostReport report, long receivedNanos) {}

    private record View(long digest, List<HostReport> hosts, Map<String, Double> busySlots, long receivedNanos) {}

    /**
     * Creates views of no hosts.
     *
     * @param staleNanos age after which a report no longer shows that its host lives
     */
    RegionViews(String ownHost, String ownRegion, LongSupplier maxAgeNanos) {
        this.ownHost = ownHost;
        this.ownRegion = ownRegion;
        this.maxAgeNanos = maxAgeNanos;
    }

    /** Takes a report of a host about itself; returns whether others must learn of a change now. */
    boolean update(HostReport report, long nowNanos) {
        ReceivedReport before = directReports.get(report.host());
        if (before != null && before.report().startedMillis() > report.startedMillis()) {
            return false;
        }
        directReports.put(report.host(), new ReceivedReport(report, nowNanos));
        return before == null || !withoutBusySlots(before.report()).equals(withoutBusySlots(report));
    }

    /** Forgets the report of a host whose connection ended; returns whether there was one. */
    boolean removeReporter(String host) {
        return directReports.remove(host) != null;
    }

    /** Forgets what a relay reported whose connection ended. */
    void removeRelay(String host) {
        views.values().forEach(relays -> relays.remove(host));
    }

    /** Takes what a relay reports of a region. */
    void update(String relay, RegionReport report, long nowNanos) {
        Map<String, View> relays = views.computeIfAbsent(report.region(), region -> new TreeMap<>());
        View before = relays.get(relay);
        List<HostReport> hosts = report.hosts();
        if (hosts == null) {
            if (before == null || before.digest() != report.hostsDigest()) {
                return;
            }
            hosts = before.hosts();
        }
        relays.put(relay, new View(report.hostsDigest(), hosts, report.busySlots(), nowNanos));
    }

    /** Returns the living hosts of a region without this one. */
    Collection<HostReport> liveHosts(String region, long nowNanos) {
        Map<String, HostReport> hosts = new TreeMap<>();
        for (View view : views.getOrDefault(region, Map.of()).values()) {
            if (isFresh(view.receivedNanos(), nowNanos)) {
                view.hosts().forEach(host -> addCurrent(hosts, host));
            }
        }
        for (ReceivedReport received : directReports.values()) {
            if (received.report().region().equals(region) && isFresh(received.receivedNanos(), nowNanos)) {
                addCurrent(hosts, received.report());
            }
        }
        hosts.remove(ownHost);
        return hosts.values();
    }

    /** Keeps the report of the newer program of a host, and of two about the same program the one that takes less. */
    private static void addCurrent(Map<String, HostReport> hosts, HostReport report) {
        HostReport known = hosts.get(report.host());
        boolean newer = known == null || known.startedMillis() < report.startedMillis();
        boolean takesLess = known != null && known.startedMillis() == report.startedMillis() && !report.takesRequests();
        if (newer || takesLess) {
            hosts.put(report.host(), report);
        }
    }

    /** Returns the living hosts of all regions without this one. */
    List<HostReport> allLiveHosts(long nowNanos) {
        List<HostReport> all = new ArrayList<>(liveHosts(ownRegion, nowNanos));
        for (String region : views.keySet()) {
            if (!region.equals(ownRegion)) {
                all.addAll(liveHosts(region, nowNanos));
            }
        }
        return all;
    }

    /** Returns the slots kept busy by the callers of each region; {@code own} is the report of this host. */
    Map<String, Map<String, Double>> busySlots(HostReport own, long nowNanos) {
        Map<String, Map<String, Double>> busy = new TreeMap<>();
        busy.put(ownRegion, ownRegionBusySlots(own, nowNanos));
        views.forEach((region, relays) -> {
            for (View view : relays.values()) {
                if (isFresh(view.receivedNanos(), nowNanos)) {
                    // A relay that hears only some of the hosts knows less than the other one.
                    Map<String, Double> known = busy.computeIfAbsent(region, key -> new TreeMap<>());
                    view.busySlots().forEach((service, slots) -> known.merge(service, slots, Math::max));
                }
            }
        });
        return busy;
    }

    private Map<String, Double> ownRegionBusySlots(HostReport own, long nowNanos) {
        Map<String, Double> sum = new TreeMap<>(own.busySlots());
        for (ReceivedReport received : directReports.values()) {
            if (received.report().region().equals(ownRegion) && isFresh(received.receivedNanos(), nowNanos)) {
                received.report().busySlots().forEach((service, slots) -> sum.merge(service, slots, Double::sum));
            }
        }
        return sum;
    }

    /** Returns what this host heard from the hosts of its region, itself included. */
    RegionReport ownRegionReport(HostReport own, long nowNanos) {
        Map<String, HostReport> hosts = new TreeMap<>();
        hosts.put(ownHost, withoutBusySlots(own));
        for (ReceivedReport received : directReports.values()) {
            HostReport report = received.report();
            if (report.region().equals(ownRegion) && isFresh(received.receivedNanos(), nowNanos)) {
                hosts.put(report.host(), withoutBusySlots(report));
            }
        }
        List<HostReport> list = List.copyOf(hosts.values());
        return new RegionReport(ownRegion, list.hashCode(), list, ownRegionBusySlots(own, nowNanos));
    }

    /** Returns what the relays of the other regions report, one report for each region. */
    List<RegionReport> otherRegions(HostReport own, long nowNanos) {
        Map<String, Map<String, Double>> busy = busySlots(own, nowNanos);
        List<RegionReport> reports = new ArrayList<>();
        busy.forEach((region, slots) -> {
            if (!region.equals(ownRegion)) {
                List<HostReport> hosts = List.copyOf(liveHosts(region, nowNanos));
                reports.add(new RegionReport(region, hosts.hashCode(), hosts, slots));
            }
        });
        return reports;
    }

    private boolean isFresh(long receivedNanos, long nowNanos) {
        return nowNanos - receivedNanos < maxAgeNanos.getAsLong();
    }

    private static HostReport withoutBusySlots(HostReport report) {
        return new HostReport(
                report.host(),
                report.region(),
                report.failureDomain(),
                report.startedMillis(),
                report.callerAddress(),
                report.takesRequests(),
                report.reachesPlatform(),
                report.cores(),
                Map.of());
    }
}

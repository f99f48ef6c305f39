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
 * Tracks the live hosts of all regions, from hosts that report to this one and from reports of relays. Reports older
 * than a given age are ignored. Used on the event loop only.
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
     * Creates views without any host.
     *
     * @param maxAgeNanos age after which a report no longer proves that its host is live
     */
    RegionViews(String ownHost, String ownRegion, LongSupplier maxAgeNanos) {
        this.ownHost = ownHost;
        this.ownRegion = ownRegion;
        this.maxAgeNanos = maxAgeNanos;
    }

    /**
     * Records the report of a host about itself; returns whether it contains a change that must be sent to others now.
     */
    boolean update(HostReport report, long nowNanos) {
        ReceivedReport before = directReports.get(report.host());
        if (before != null && before.report().startedMillis() > report.startedMillis()) {
            return false;
        }
        directReports.put(report.host(), new ReceivedReport(report, nowNanos));
        return before == null || !withoutBusySlots(before.report()).equals(withoutBusySlots(report));
    }

    /** Removes the report of a host whose connection ended; returns whether there was one. */
    boolean removeReporter(String host) {
        return directReports.remove(host) != null;
    }

    /** Removes the reports of a relay whose connection ended. */
    void removeRelay(String host) {
        views.values().forEach(relays -> relays.remove(host));
    }

    /**
     * Records the report of a relay about a region. A report without hosts is ignored unless its digest is that of the
     * known hosts.
     */
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

    /** Returns the live hosts of a region, excluding this one. */
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

    /**
     * Adds a report unless a better one is known: the latest start of a host wins and, for the same start, a report
     * that the host takes no requests.
     */
    private static void addCurrent(Map<String, HostReport> hosts, HostReport report) {
        HostReport known = hosts.get(report.host());
        boolean newer = known == null || known.startedMillis() < report.startedMillis();
        boolean takesLess = known != null && known.startedMillis() == report.startedMillis() && !report.takesRequests();
        if (newer || takesLess) {
            hosts.put(report.host(), report);
        }
    }

    /** Returns the live hosts of all regions, excluding this one. */
    List<HostReport> allLiveHosts(long nowNanos) {
        List<HostReport> all = new ArrayList<>(liveHosts(ownRegion, nowNanos));
        for (String region : views.keySet()) {
            if (!region.equals(ownRegion)) {
                all.addAll(liveHosts(region, nowNanos));
            }
        }
        return all;
    }

    /** Returns the slots in use by the callers of each region; {@code own} is the report of this host. */
    Map<String, Map<String, Double>> busySlots(HostReport own, long nowNanos) {
        Map<String, Map<String, Double>> busy = new TreeMap<>();
        busy.put(ownRegion, ownRegionBusySlots(own, nowNanos));
        views.forEach((region, relays) -> {
            for (View view : relays.values()) {
                if (isFresh(view.receivedNanos(), nowNanos)) {
                    // A relay that receives reports from only some of the hosts has lower values than the other one.
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

    /** Returns the report about the own region, from the hosts that report to this one and from this host. */
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

    /** Returns one report for each other region, merged from the reports of its relays. */
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

    /** Returns whether a report has all fields that its readers rely on. */
    static boolean isComplete(HostReport report) {
        return report.host() != null && report.region() != null && report.callerAddress() != null;
    }

    /** Returns whether a report and those of its hosts have all fields that their readers rely on. */
    static boolean isComplete(RegionReport report) {
        return report.region() != null
                && (report.hosts() == null || report.hosts().stream().allMatch(RegionViews::isComplete));
    }
}

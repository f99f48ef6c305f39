package io.carawaylift.cli;

import io.carawaylift.model.AcceptedTable;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.ServiceRow;
import io.carawaylift.model.Table;
import io.carawaylift.model.UpstreamMeasure;
import io.carawaylift.model.UpstreamRow;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** One line per upstream: what the table wants, what is in force, what was measured, and why they differ. */
final class TableReport {
    static final List<String> COLUMNS = List.of(
            "service",
            "region",
            "upstream",
            "weight",
            "wanted",
            "in_force",
            "measured",
            "per_s",
            "refused_per_s",
            "in_flight",
            "usable_slots",
            "slots",
            "limit",
            "why_different");

    /** Differences of shares below this are expected from counting over one report interval. */
    private static final double NOTABLE_DIFFERENCE = 0.05;

    private final AcceptedTable accepted;
    private final FleetView fleet;

    TableReport(AcceptedTable accepted, FleetView fleet) {
        this.accepted = accepted;
        this.fleet = fleet;
    }

    List<List<String>> rows() {
        List<List<String>> rows = new ArrayList<>();
        Table table = accepted.table();
        for (ServiceRow service : table.services()) {
            Map<String, Double> wanted = table.wantedShares(service.name());
            double total = 0;
            for (String upstream : wanted.keySet()) {
                total += measured(upstream).perSecond;
            }
            for (UpstreamRow row : table.upstreamsOf(service.name())) {
                rows.add(line(row, wanted.get(row.name()), total));
            }
        }
        return rows;
    }

    private List<String> line(UpstreamRow row, double wanted, double totalPerSecond) {
        Sum sum = measured(row.name());
        double share = totalPerSecond == 0 ? 0 : sum.perSecond / totalPerSecond;
        return List.of(
                row.service(),
                row.region(),
                row.name(),
                Integer.toString(row.weight()),
                percent(wanted),
                versionsInForce(),
                totalPerSecond == 0 ? "-" : percent(share),
                decimal(sum.perSecond),
                decimal(sum.refusedPerSecond),
                Integer.toString(sum.inFlight),
                Integer.toString(sum.usableSlots),
                Integer.toString(slots(row.name())),
                row.maxInFlight() == 0 ? "-" : Integer.toString(row.maxInFlight()),
                reason(row, wanted, share, totalPerSecond, sum));
    }

    /** Returns the accepted version if every live host has it, else how many have it. */
    private String versionsInForce() {
        List<String> below = fleet.hostsBelow(accepted.version());
        return below.isEmpty() ? "v" + accepted.version() : "v" + accepted.version() + " except " + below.size();
    }

    private String reason(UpstreamRow row, double wanted, double share, double totalPerSecond, Sum sum) {
        List<String> reasons = new ArrayList<>();
        List<String> below = fleet.hostsBelow(accepted.version());
        if (!below.isEmpty()) {
            reasons.add("older table on " + String.join(" ", below));
        }
        if (row.drain()) {
            reasons.add("drained");
        }
        int listed = slots(row.name());
        if (sum.usableSlots < listed) {
            reasons.add(
                    (listed - sum.usableSlots) + " slots not usable: limit, leaving endpoint, or no owner in force");
        }
        if (sum.refusedPerSecond > 0) {
            reasons.add("refused for lack of room");
        }
        if (totalPerSecond == 0) {
            reasons.add("no traffic in the last interval");
        } else if (Math.abs(share - wanted) > NOTABLE_DIFFERENCE && reasons.isEmpty()) {
            reasons.add("share still moving, or work sent on from an upstream without room");
        }
        return String.join("; ", reasons);
    }

    private int slots(String upstream) {
        int slots = 0;
        for (EndpointList list : fleet.endpoints()) {
            slots += list.endpoints().stream()
                    .filter(endpoint -> endpoint.upstream().equals(upstream))
                    .mapToInt(endpoint -> endpoint.slots())
                    .sum();
        }
        return slots;
    }

    private Sum measured(String upstream) {
        Sum sum = new Sum();
        for (MemberReport report : fleet.reports()) {
            for (UpstreamMeasure measure : report.measures()) {
                if (measure.upstream().equals(upstream)) {
                    sum.add(measure);
                }
            }
        }
        return sum;
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.1f%%", share * 100);
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    private static final class Sum {
        private double perSecond;
        private double refusedPerSecond;
        private int inFlight;
        private int usableSlots;

        private void add(UpstreamMeasure measure) {
            perSecond += measure.dispatchedPerSecond();
            refusedPerSecond += measure.refusedPerSecond();
            inFlight += measure.inFlight();
            usableSlots += measure.usableSlots();
        }
    }
}

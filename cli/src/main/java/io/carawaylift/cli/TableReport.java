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

/** Compares per upstream the wanted share, the table version in force and the measured traffic, with reasons. */
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

    /** Smaller differences between shares are normal because requests are counted over one report interval. */
    private static final double MIN_REPORTED_SHARE_DIFFERENCE = 0.05;

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
            double totalPerSecond = 0;
            for (String upstream : wanted.keySet()) {
                totalPerSecond += totals(upstream).perSecond;
            }
            for (UpstreamRow row : table.upstreamsOf(service.name())) {
                rows.add(row(row, wanted.get(row.name()), totalPerSecond));
            }
        }
        return rows;
    }

    private List<String> row(UpstreamRow row, double wanted, double totalPerSecond) {
        Totals totals = totals(row.name());
        double share = totalPerSecond == 0 ? 0 : totals.perSecond / totalPerSecond;
        return List.of(
                row.service(),
                row.region(),
                row.name(),
                Integer.toString(row.weight()),
                percent(wanted),
                versionInForce(),
                totalPerSecond == 0 ? "-" : percent(share),
                decimal(totals.perSecond),
                decimal(totals.refusedPerSecond),
                Integer.toString(totals.inFlight),
                Integer.toString(totals.usableSlots),
                Integer.toString(slots(row.name())),
                row.maxInFlight() == 0 ? "-" : Integer.toString(row.maxInFlight()),
                reason(row, wanted, share, totalPerSecond, totals));
    }

    /** Returns the accepted version, and how many live hosts do not have it in force yet. */
    private String versionInForce() {
        List<String> outdatedHosts = fleet.hostsWithOlderTable(accepted.version());
        return outdatedHosts.isEmpty()
                ? "v" + accepted.version()
                : "v" + accepted.version() + " except " + outdatedHosts.size();
    }

    private String reason(UpstreamRow row, double wanted, double share, double totalPerSecond, Totals totals) {
        List<String> reasons = new ArrayList<>();
        List<String> outdatedHosts = fleet.hostsWithOlderTable(accepted.version());
        if (!outdatedHosts.isEmpty()) {
            reasons.add("older table on " + String.join(" ", outdatedHosts));
        }
        if (row.drain()) {
            reasons.add("drained");
        }
        int listedSlots = slots(row.name());
        if (totals.usableSlots < listedSlots) {
            reasons.add((listedSlots - totals.usableSlots)
                    + " slots not usable: limit, leaving endpoint, or no owner in force");
        }
        if (totals.refusedPerSecond > 0) {
            reasons.add("refused for lack of room");
        }
        if (totalPerSecond == 0) {
            reasons.add("no traffic in the last interval");
        } else if (Math.abs(share - wanted) > MIN_REPORTED_SHARE_DIFFERENCE && reasons.isEmpty()) {
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

    private Totals totals(String upstream) {
        Totals totals = new Totals();
        for (MemberReport report : fleet.reports()) {
            for (UpstreamMeasure measure : report.measures()) {
                if (measure.upstream().equals(upstream)) {
                    totals.add(measure);
                }
            }
        }
        return totals;
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.1f%%", share * 100);
    }

    private static String decimal(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    private static final class Totals {
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

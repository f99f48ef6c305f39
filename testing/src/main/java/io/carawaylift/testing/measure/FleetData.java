package io.carawaylift.testing.measure;

import io.carawaylift.model.AcceptedTable;
import io.carawaylift.model.Endpoint;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.OwnershipMode;
import io.carawaylift.model.Rank;
import io.carawaylift.model.RegionRow;
import io.carawaylift.model.ServiceRow;
import io.carawaylift.model.Table;
import io.carawaylift.model.UpstreamMeasure;
import io.carawaylift.model.UpstreamRow;
import java.util.List;
import java.util.stream.IntStream;

/** Creates records of realistic size for the measurements. */
final class FleetData {
    static final String REGION = "region-01";
    private static final int ENDPOINTS_PER_MEMBER = 2;
    private static final int SITES = 450;
    private static final int MEASURES_PER_REPORT = 4;

    private FleetData() {}

    static Member member(String domain, int index) {
        EntryProcess process =
                new EntryProcess(String.format("%s-host-%03d", domain, index), 1_760_000_000_000L + index);
        return new Member(
                process,
                REGION,
                domain,
                domain,
                "http://127.0.0.1:9000",
                "http://127.0.0.1:9001",
                "http://127.0.0.1:9002",
                "127.0.0.1:9003",
                MemberState.ACTIVE);
    }

    static MemberReport report(String domain, int index, long heartbeat) {
        List<UpstreamMeasure> measures = IntStream.range(0, MEASURES_PER_REPORT)
                .mapToObj(i -> new UpstreamMeasure("upstream-" + i, 3, 120.5, 0, 10))
                .toList();
        return new MemberReport(member(domain, index), heartbeat, 14_000, List.of(), measures);
    }

    static EndpointList endpoints(String domain, int members) {
        List<Endpoint> endpoints = IntStream.range(0, members * ENDPOINTS_PER_MEMBER)
                .mapToObj(i -> new Endpoint(domain + "-e" + i, "upstream-1", "http://127.0.0.1:8000", 5, 360, false))
                .toList();
        List<String> hosts = IntStream.range(0, members)
                .mapToObj(i -> member(domain, i).process().host())
                .toList();
        return new EndpointList(domain, REGION, endpoints, hosts);
    }

    static OwnersRecord owners(String domain, int members) {
        List<Member> all =
                IntStream.range(0, members).mapToObj(i -> member(domain, i)).toList();
        List<Ownership> endpoints = IntStream.range(0, members * ENDPOINTS_PER_MEMBER)
                .mapToObj(i -> new Ownership(
                        domain + "-e" + i,
                        all.get(i % members).process(),
                        all.get((i + 1) % members).process().host(),
                        1,
                        OwnershipMode.FULL,
                        false,
                        null,
                        null))
                .toList();
        return new OwnersRecord(domain, REGION, all, endpoints);
    }

    /**
     * Returns a table with one upstream per site; the upstream with index {@code changed} has another weight than the
     * rest.
     */
    static AcceptedTable table(long version, int changed) {
        Table.Builder builder = Table.builder()
                .put(new RegionRow(REGION, 100, 0))
                .put(new ServiceRow("calendar", Rank.STANDARD, List.of("GET", "HEAD"), 5_000));
        for (int i = 0; i < SITES; i++) {
            int weight = i == changed ? 50 : 100;
            builder.put(new UpstreamRow("upstream-" + i, "calendar", REGION, "domain-" + i % 63, weight, 0, false));
        }
        return new AcceptedTable(
                version, "change-" + version, "operator", "weight", "2026-01-01", List.of(), builder.build());
    }
}

package io.carawaylift.entry;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.MemberState;
import io.carawaylift.model.Rank;
import io.carawaylift.model.ServiceRow;
import io.carawaylift.model.Table;
import io.carawaylift.model.UpstreamRow;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Serves the operators' pages {@code /status} and {@code /explain/<request id>}. */
final class AdminPages {
    private static final double SHARE_TOLERANCE = 0.001;

    private final EntryProcess self;
    private final Sources sources;

    /** Sources of the pages' content. */
    record Sources(
            Steering steering,
            QueueShards queueShards,
            DecisionLog log,
            Supplier<MemberState> state,
            IntSupplier inFlight,
            LongSupplier clock) {}

    /** Content of {@code /status}. */
    record Status(
            String process,
            String state,
            long tableVersion,
            int inFlight,
            List<UpstreamStatus> upstreams,
            List<ShareStatus> shares) {}

    /** An upstream of which this process owns or owned endpoints. */
    record UpstreamStatus(String upstream, int usableSlots, int inFlight, Map<String, Integer> waiting) {}

    /**
     * Share of a service's traffic that an upstream receives.
     *
     * @param reason why the share in force differs from the wanted one, empty if it does not
     */
    record ShareStatus(String service, String upstream, double wanted, double inForce, String reason) {}

    AdminPages(EntryProcess self, Sources sources) {
        this.self = self;
        this.sources = sources;
    }

    /** Adds the pages to an application that is created before their sources. */
    static void addTo(Jooby application, Supplier<AdminPages> pages) {
        application.get("/status", context -> {
            context.setResponseType(MediaType.json);
            return OwnResponses.json(pages.get().status()).utf8();
        });
        application.get("/explain/{id}", context -> {
            List<DecisionRecord> records =
                    pages.get().explain(context.path("id").value());
            context.setResponseType(MediaType.json);
            context.setResponseCode(records.isEmpty() ? StatusCode.NOT_FOUND : StatusCode.OK);
            return OwnResponses.json(records).utf8();
        });
    }

    /** Returns the records of a request, oldest first, or an empty list if there are none. */
    List<DecisionRecord> explain(String requestId) {
        return sources.log().find(requestId);
    }

    Status status() {
        Topology topology = sources.steering().topology();
        return new Status(
                self.toString(),
                sources.state().get().name(),
                topology == null ? 0 : topology.tableVersion(),
                sources.inFlight().getAsInt(),
                upstreams(),
                topology == null ? List.of() : shares(topology));
    }

    private List<UpstreamStatus> upstreams() {
        List<UpstreamStatus> found = new ArrayList<>();
        sources.queueShards().localLoads().forEach((upstream, load) -> {
            Map<String, Integer> waiting = new TreeMap<>();
            for (Rank rank : Rank.values()) {
                waiting.put(rank.label(), load.load().waiting().get(rank));
            }
            found.add(
                    new UpstreamStatus(upstream, load.usableSlots(), load.load().inFlight(), waiting));
        });
        return found;
    }

    private List<ShareStatus> shares(Topology topology) {
        List<ShareStatus> found = new ArrayList<>();
        Table table = topology.table();
        for (ServiceRow service : table.services()) {
            Map<String, Double> wanted = table.wantedShares(service.name());
            Map<String, Double> inForce = sources.steering()
                    .service(service.name())
                    .shares(sources.clock().getAsLong());
            for (UpstreamRow row : table.upstreamsOf(service.name())) {
                double share = inForce.getOrDefault(row.name(), 0.0);
                double target = wanted.getOrDefault(row.name(), 0.0);
                found.add(new ShareStatus(
                        service.name(), row.name(), target, share, reason(topology, row, target, share)));
            }
        }
        return found;
    }

    private static String reason(Topology topology, UpstreamRow row, double wanted, double inForce) {
        int slots = topology.ownersOf(row.name()).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        if (slots == 0 && wanted > 0) {
            return "no owner has a usable slot, so the others get its share";
        }
        if (Math.abs(wanted - inForce) <= SHARE_TOLERANCE) {
            return "";
        }
        return inForce < wanted
                ? "rising by at most " + topology.table().maxShiftPercentPerSecond() + " percentage points per second"
                : "falling as the shares of others rise";
    }
}

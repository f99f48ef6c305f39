package io.carawaylift.host;

import io.carawaylift.decisions.address.LargestHosts;
import io.carawaylift.peer.Message;
import io.carawaylift.platform.store.CallerApi;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.function.Supplier;

/** Computes the responses to callers that look up hosts, and to readiness checks of the platform. */
final class Lookups {
    /** Short, so that callers move away from a stopping host within its grace period. */
    private static final int LOOKUP_LIFETIME_SECONDS = 2;

    private static final int MAX_ADDRESSES = 64;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final Supplier<Message.HostReport> ownReport;
    private final Supplier<Collection<Message.HostReport>> otherReports;

    /** Creates lookups. The suppliers return the report of this host and the latest reports of the other live hosts. */
    Lookups(Supplier<Message.HostReport> ownReport, Supplier<Collection<Message.HostReport>> otherReports) {
        this.ownReport = ownReport;
        this.otherReports = otherReports;
    }

    /** Returns the page for a lookup request. */
    PageServer.Page lookup(String target) {
        QueryStringDecoder query = new QueryStringDecoder(target);
        if (!query.path().equals(CallerApi.RESOLVE_PATH)) {
            return PageServer.Page.NOT_FOUND;
        }
        List<String> requestedRegions = query.parameters().getOrDefault(CallerApi.REGION_PARAMETER, List.of());
        List<String> addresses =
                addresses(requestedRegions.isEmpty() ? ownReport.get().region() : requestedRegions.get(0));
        if (addresses.isEmpty()) {
            return new PageServer.Page(UNAVAILABLE, "application/json", "");
        }
        return new PageServer.Page(
                OK, "application/json", CallerApi.resolveResponse(addresses, LOOKUP_LIFETIME_SECONDS));
    }

    /** Returns the page for a readiness check. */
    PageServer.Page readiness(String target) {
        boolean isReadinessPath = target.startsWith(CallerApi.READINESS_PATH);
        int status = isReadinessPath && ownReport.get().takesRequests() ? OK : UNAVAILABLE;
        return new PageServer.Page(status, "application/json", "");
    }

    /**
     * Returns the addresses of the hosts with the most cores in the region that take requests, or of those in all
     * regions if the region has none. Sorted and limited in number.
     */
    List<String> addresses(String region) {
        List<Message.HostReport> hosts = new ArrayList<>(otherReports.get());
        hosts.add(ownReport.get());
        List<Message.HostReport> inRegion = new ArrayList<>();
        List<Message.HostReport> all = new ArrayList<>();
        for (Message.HostReport host : hosts) {
            if (!host.takesRequests()) {
                continue;
            }
            all.add(host);
            if (host.region().equals(region)) {
                inRegion.add(host);
            }
        }
        List<String> chosen = new ArrayList<>();
        LargestHosts.of(inRegion.isEmpty() ? all : inRegion, Message.HostReport::cores)
                .forEach(host -> chosen.add(host.callerAddress()));
        Collections.sort(chosen);
        return chosen.subList(0, Math.min(MAX_ADDRESSES, chosen.size()));
    }
}

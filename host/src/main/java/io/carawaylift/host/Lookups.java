package io.carawaylift.host;

import io.carawaylift.decisions.address.CapableHosts;
import io.carawaylift.peer.Message;
import io.carawaylift.platform.store.CallerApi;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.function.Supplier;

/** Answers callers that ask which hosts to connect to, and the platform that asks whether the host takes requests. */
final class Lookups {
    /** Short, so that callers leave a host that stops within its grace period. */
    private static final int LIFETIME_SECONDS = 2;

    private static final int MAX_ADDRESSES = 64;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final Supplier<Message.HostReport> own;
    private final Supplier<Collection<Message.HostReport>> others;

    /** Creates look-ups; the suppliers return this host's report and the newest reports of the other hosts that live. */
    Lookups(Supplier<Message.HostReport> own, Supplier<Collection<Message.HostReport>> others) {
        this.own = own;
        this.others = others;
    }

    /** Returns the page for a look-up. */
    PageServer.Page lookup(String target) {
        QueryStringDecoder query = new QueryStringDecoder(target);
        if (!query.path().equals(CallerApi.RESOLVE_PATH)) {
            return PageServer.Page.NOT_FOUND;
        }
        List<String> asked = query.parameters().getOrDefault(CallerApi.REGION_PARAMETER, List.of());
        List<String> addresses = addresses(asked.isEmpty() ? own.get().region() : asked.get(0));
        if (addresses.isEmpty()) {
            return new PageServer.Page(UNAVAILABLE, "application/json", "");
        }
        return new PageServer.Page(OK, "application/json", CallerApi.resolveResponse(addresses, LIFETIME_SECONDS));
    }

    /** Returns the page for a question whether the host takes requests. */
    PageServer.Page readiness(String target) {
        boolean asked = target.startsWith(CallerApi.READINESS_PATH);
        int status = asked && own.get().takesRequests() ? OK : UNAVAILABLE;
        return new PageServer.Page(status, "application/json", "");
    }

    /** Returns the largest hosts of the region that take requests, or those of all regions if the region has none. */
    List<String> addresses(String region) {
        List<Message.HostReport> hosts = new ArrayList<>(others.get());
        hosts.add(own.get());
        List<Message.HostReport> near = new ArrayList<>();
        List<Message.HostReport> all = new ArrayList<>();
        for (Message.HostReport host : hosts) {
            if (!host.takesRequests()) {
                continue;
            }
            all.add(host);
            if (host.region().equals(region)) {
                near.add(host);
            }
        }
        List<String> chosen = new ArrayList<>();
        CapableHosts.of(near.isEmpty() ? all : near, Message.HostReport::cores)
                .forEach(host -> chosen.add(host.callerAddress()));
        Collections.sort(chosen);
        return chosen.subList(0, Math.min(MAX_ADDRESSES, chosen.size()));
    }
}

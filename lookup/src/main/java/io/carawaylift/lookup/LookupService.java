package io.carawaylift.lookup;

import io.carawaylift.decisions.address.AddressMap;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.Headers;
import io.carawaylift.model.Member;
import io.carawaylift.model.ResultCode;
import io.carawaylift.peer.ControlLink;
import io.carawaylift.peer.ControlLinks;
import io.carawaylift.runtime.AdminServer;
import io.carawaylift.runtime.Service;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;
import java.util.List;

/** Serves lookups over HTTP. */
final class LookupService implements Service {
    /** Lookups do not block, so they run on the I/O threads. */
    private static final int IO_THREADS = 2;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final LookupSettings settings;
    private final LookupRecords records = new LookupRecords();
    private final ControlLink controlLink;
    private final AdminServer admin;
    private final NettyServer server = new NettyServer();
    private final Timer latency;
    private final Counter refusedCounter;

    LookupService(LookupSettings settings) {
        this.settings = settings;
        String address = settings.host().address();
        this.controlLink = ControlLinks.builder()
                .address(address + ":" + settings.controlPort())
                .identity(new ControlLink.Identity(
                        "lookup", null, ProcessHandle.current().pid()))
                .build();
        this.admin = new AdminServer(address, settings.adminPort(), application -> {});
        this.latency = Timer.builder("carawaylift.lookup.latency")
                .publishPercentileHistogram()
                .register(admin.metrics());
        this.refusedCounter = admin.metrics().counter("carawaylift.lookup.refused");
    }

    @Override
    public void start() {
        admin.start();
        controlLink.start(records);
        ServerOptions options = new ServerOptions();
        options.setHost(settings.host().address());
        options.setPort(settings.port());
        options.setIoThreads(IO_THREADS);
        options.setWorkerThreads(1);
        server.setOptions(options);
        server.start(application());
    }

    @Override
    public void stop() {
        server.stop();
        controlLink.stop();
        admin.stop();
    }

    private Jooby application() {
        Jooby application = new Jooby();
        application.setExecutionMode(ExecutionMode.EVENT_LOOP);
        application.get("/lookup", context -> latency.record(() -> respond(context)));
        return application;
    }

    private Object respond(Context context) {
        try {
            LookupResponse response = lookup(context.query("client").value(context.getRemoteAddress()));
            context.setResponseHeader("Cache-Control", "max-age=" + response.lifetimeMs() / MILLIS_PER_SECOND);
            return send(context, ResultCode.ANSWERED, ResponseJson.of(response));
        } catch (CarawayliftException e) {
            refusedCounter.increment();
            context.setResponseHeader("Cache-Control", "no-store");
            return send(context, e.code(), ResponseJson.of(e));
        }
    }

    private static Object send(Context context, ResultCode code, String json) {
        context.setResponseCode(StatusCode.valueOf(code.httpStatus()));
        context.setResponseHeader(Headers.CODE, code.number());
        context.setResponseType("application/json");
        return context.send(json);
    }

    /** Returns the site of the address block that contains the client, or the site of this host if no block does. */
    private String siteOf(AddressMap addresses, int client) {
        int number = addresses.siteOf(client);
        return number == AddressMap.NO_SITE ? settings.host().site() : addresses.siteName(number);
    }

    private LookupResponse lookup(String client) {
        LookupRecords.View view = records.view()
                .orElseThrow(() -> new CarawayliftException(
                        ResultCode.NO_TABLE, "the look-up program has not learned the records yet"));
        int address = ClientAddress.parse(client);
        String site = siteOf(view.addresses(), address);
        String region = view.directory().regionOf(site, settings.host().region());
        List<Member> chosen = view.directory().choose(address, site, region);
        if (chosen.isEmpty()) {
            throw new CarawayliftException(ResultCode.NO_UPSTREAM, "no entry host is active");
        }
        List<LookupResponse.Entry> entries = chosen.stream()
                .map(member -> new LookupResponse.Entry(member.process().host(), member.entryUrl()))
                .toList();
        return new LookupResponse(entries, view.lifetimeMillis());
    }
}

package io.carawaylift.control;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.ResultCode;
import io.carawaylift.peer.ByteCounts;
import io.carawaylift.platform.CallCounts;
import io.carawaylift.platform.CallKind;
import io.jooby.Jooby;
import io.jooby.MediaType;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Collects the data of the page {@code /status}. Thread-safe. */
final class StatusPage {
    private static final long READ_TIMEOUT_SECONDS = 2;

    private final ControlState state;
    private final Reporter reporter;
    private final TakeoverRunner takeoverRunner;
    private final CallCounts calls;
    private final ByteCounts bytes;

    StatusPage(
            ControlState state, Reporter reporter, TakeoverRunner takeoverRunner, CallCounts calls, ByteCounts bytes) {
        this.state = state;
        this.reporter = reporter;
        this.takeoverRunner = takeoverRunner;
        this.calls = calls;
        this.bytes = bytes;
    }

    /** Adds the page to the admin server; {@code page} is called for each request. */
    static void addTo(Jooby routes, Supplier<StatusPage> page) {
        routes.get("/status", context -> {
            context.setResponseType(MediaType.json);
            return RecordCodec.encode(page.get().read()).text();
        });
    }

    /**
     * Returns a status that was collected on the decision thread.
     *
     * @throws CarawayliftException with {@link ResultCode#INVARIANT_VIOLATED} if that thread does not respond in time
     */
    ControlStatus read() {
        try {
            return state.loop()
                    .supply(this::collect)
                    .orTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .join();
        } catch (CompletionException e) {
            throw new CarawayliftException(ResultCode.INVARIANT_VIOLATED, "no answer of the decision thread", e);
        }
    }

    private ControlStatus collect() {
        String domain = state.host().failureDomain();
        return new ControlStatus(
                state.host().id(),
                domain,
                state.records().isSynchronized(),
                new ControlStatus.Roles(state.isAgent(), reporter.reportedDomains(), takeoverRunner.endpointCount()),
                new TreeMap<>(state.records().store().versions()),
                state.members().members(domain, state.loop().nowNanos()),
                platformCalls(),
                new ControlStatus.PeerTraffic(state.peers().connectionCount(), bytes.sent(), bytes.received()));
    }

    private Map<String, ControlStatus.Calls> platformCalls() {
        Map<String, ControlStatus.Calls> byKind = new TreeMap<>();
        for (CallKind kind : CallKind.values()) {
            byKind.put(
                    kind.name().toLowerCase(Locale.ROOT),
                    new ControlStatus.Calls(calls.started(kind), calls.failed(kind)));
        }
        return byKind;
    }
}

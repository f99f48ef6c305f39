package io.carawaylift.control;

import io.carawaylift.platform.RetryPolicy;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;

/**
 * Creates the components of a control program and runs their periodic work. Used on the decision thread once running.
 */
final class ControlComponents {
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(5);

    private final ControlState state;
    private final HeartbeatRelay heartbeatRelay;
    private final TakeoverRunner takeoverRunner;
    private final Reporter reporter;
    private final RecordExchange exchange;
    private final ProcessMonitor processMonitor;
    private final PlatformWatch platformWatch;

    ControlComponents(ControlState state, SplittableRandom random, LongFunction<BooleanSupplier> processLiveness) {
        this.state = state;
        heartbeatRelay = new HeartbeatRelay(state);
        takeoverRunner = new TakeoverRunner(state, heartbeatRelay, retryPolicy(random));
        reporter = new Reporter(state);
        exchange = new RecordExchange(state, random.split());
        processMonitor = new ProcessMonitor(state, heartbeatRelay, processLiveness);
        platformWatch = new PlatformWatch(
                state.platform(), state.reader(), state.loop(), retryPolicy(random), state.records()::markSynchronized);
        state.peers().receiver(new PeerMessageDispatcher(state, heartbeatRelay, takeoverRunner, exchange));
    }

    Reporter reporter() {
        return reporter;
    }

    TakeoverRunner takeoverRunner() {
        return takeoverRunner;
    }

    InboundConnections inbound() {
        return new InboundConnections(state, heartbeatRelay, processMonitor);
    }

    /**
     * Registers the listeners in the order in which they must be called. The takeover rules must learn of owners before
     * the entry program does, because the entry program's wait after a takeover assumes that acknowledgements have
     * ended by then.
     */
    void addListeners(ControlMetrics metrics) {
        Records records = state.records();
        records.addListener(metrics.beforePush());
        records.addListener(takeoverRunner);
        records.addListener(state.peers());
        records.addListener(new Records.Listener() {
            @Override
            public void ownersRead(String name, Records.VersionedOwners owners, boolean fromPlatform) {
                state.members().ownersRead(owners.record(), state.loop().nowNanos());
            }
        });
        records.addListener(state.programs());
        records.addListener(exchange);
        records.addListener(metrics.afterPush(records));
    }

    /** Runs the periodic work; called once per heartbeat interval. */
    void tick() {
        processMonitor.tick();
        platformWatch.setEnabled(state.isAgent());
        reporter.tick();
        takeoverRunner.tick();
        state.peers().closeUnused();
    }

    /**
     * Compares digests with a peer; called every two heartbeat intervals. Without any connection, connects to the seeds
     * again.
     */
    void exchangeDigests(List<String> seeds) {
        if (state.peers().connectionCount() == 0) {
            state.peers().connect(seeds);
        }
        exchange.tick();
    }

    private static RetryPolicy retryPolicy(SplittableRandom random) {
        return RetryPolicy.builder()
                .maxDelay(MAX_RETRY_DELAY)
                .seed(random.nextLong())
                .build();
    }
}

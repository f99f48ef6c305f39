package io.carawaylift.control;

import io.carawaylift.platform.RetryPolicy;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;

/** The parts of a control program and what they do in each interval. Used on the decision thread once running. */
final class ControlParts {
    private static final Duration LONGEST_RETRY = Duration.ofSeconds(5);

    private final ControlState state;
    private final Heartbeats heartbeats;
    private final Successor successor;
    private final Reporter reporter;
    private final RecordExchange exchange;
    private final EndedWatch endedWatch;
    private final PlatformWatch watch;

    ControlParts(ControlState state, SplittableRandom random, LongFunction<BooleanSupplier> processes) {
        this.state = state;
        heartbeats = new Heartbeats(state);
        successor = new Successor(state, heartbeats, retry(random));
        reporter = new Reporter(state);
        exchange = new RecordExchange(state, random.split());
        endedWatch = new EndedWatch(state, heartbeats, processes);
        watch = new PlatformWatch(
                state.platform(), state.reader(), state.loop(), retry(random), state.records()::markSynchronized);
        state.peers().receiver(new PeerMessages(state, heartbeats, successor, exchange));
    }

    Reporter reporter() {
        return reporter;
    }

    Successor successor() {
        return successor;
    }

    Inbound inbound() {
        return new Inbound(state, heartbeats, endedWatch);
    }

    /** The takeover rules learn of owners before the entry program does, because its wait assumes so. */
    void listen(ControlMetrics metrics) {
        Records records = state.records();
        records.listen(metrics.beforePush());
        records.listen(successor);
        records.listen(state.peers());
        records.listen(new Records.Listener() {
            @Override
            public void ownersRead(String name, Records.Owners owners, boolean fromPlatform) {
                state.members().ownersRead(owners.record(), state.loop().nowNanos());
            }
        });
        records.listen(state.programs());
        records.listen(exchange);
        records.listen(metrics.afterPush(records));
    }

    /** Runs once per heartbeat interval. */
    void tick() {
        endedWatch.tick();
        watch.setWanted(state.isAgent());
        reporter.tick();
        successor.tick();
        state.peers().closeUnused();
    }

    /** Runs every two heartbeat intervals. A program that lost all peers tries its seeds again. */
    void exchangeDigests(List<String> seeds) {
        if (state.peers().connections() == 0) {
            state.peers().connect(seeds);
        }
        exchange.tick();
    }

    private static RetryPolicy retry(SplittableRandom random) {
        return RetryPolicy.builder()
                .maxDelay(LONGEST_RETRY)
                .seed(random.nextLong())
                .build();
    }
}

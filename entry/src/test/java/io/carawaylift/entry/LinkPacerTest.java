package io.carawaylift.entry;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.Table;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.util.HashedWheelTimer;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against sending to another region without budget or before the budget covers it. */
@Timeout(60)
class LinkPacerTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int BYTES_PER_SECOND = 125_000;

    private final AtomicLong now = new AtomicLong();
    private final HashedWheelTimer timer = new HashedWheelTimer();
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final LinkPacer pacer = new LinkPacer("r", now::get, timer, new EntryMetrics(registry));
    private final Topology topology = new Topology(1, Table.parse("""
                    [[region]]
                    name = "r"
                    weight = 1
                    [[region]]
                    name = "far"
                    weight = 1
                    [[link]]
                    from = "r"
                    to = "far"
                    max_mbit_per_s = 1
                    """), List.of(), List.of());

    @AfterEach
    void stop() {
        timer.stop();
    }

    private boolean send(String region, int bytes, long deadlineNanos, CountDownLatch sent) {
        return pacer.schedule(region, bytes, deadlineNanos, sent::countDown);
    }

    @Test
    void nothingIsSentToOtherRegionsWithoutTableOrWhileJoining() {
        CountDownLatch sent = new CountDownLatch(1);
        assertThat(send("far", 1, NANOS_PER_SECOND, sent)).isFalse();
        pacer.update(topology, false, true);
        assertThat(send("far", 1, NANOS_PER_SECOND, sent)).isFalse();
        assertThat(sent.getCount()).isEqualTo(1);
        assertThat(send("r", BYTES_PER_SECOND, NANOS_PER_SECOND, sent)).isTrue();
        assertThat(sent.getCount()).isEqualTo(0);
    }

    @Test
    void sendBeyondBudgetIsDelayedAndRefusedIfDelayExceedsDeadline() throws InterruptedException {
        pacer.update(topology, false, false);
        now.addAndGet(10 * NANOS_PER_SECOND);
        long deadline = now.get() + NANOS_PER_SECOND / 10;
        CountDownLatch sent = new CountDownLatch(2);
        assertThat(send("far", BYTES_PER_SECOND / 4, deadline, sent)).isTrue();
        assertThat(send("far", BYTES_PER_SECOND, deadline, sent)).isFalse();
        assertThat(send("far", BYTES_PER_SECOND / 4, deadline + 10 * NANOS_PER_SECOND, sent))
                .isTrue();
        assertThat(sent.await(20, TimeUnit.SECONDS)).isTrue();
        assertThat(registry.get("carawaylift.link.bytes")
                        .tag("to", "far")
                        .counter()
                        .count())
                .isAtLeast(BYTES_PER_SECOND / 2.0);
    }
}

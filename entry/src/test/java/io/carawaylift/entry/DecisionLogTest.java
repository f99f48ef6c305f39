package io.carawaylift.entry;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.ResultCode;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against a log that grows with the number of requests or that reports a request twice. */
class DecisionLogTest {
    private static final int CAPACITY = 160;

    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final DecisionLog log = new DecisionLog(CAPACITY, Long.MAX_VALUE, new EntryMetrics(registry));

    private void finish(String id) {
        RequestTrace trace = new RequestTrace(id, 0, log, System::nanoTime);
        trace.finish(ResultCode.ANSWERED, "");
        trace.finish(ResultCode.ANSWER_CUT, "second report");
    }

    @Test
    void newestRecordsAreKeptAndOldestDropped() {
        IntStream.range(0, 10 * CAPACITY).forEach(number -> finish("h1." + number));
        long kept = IntStream.range(0, 10 * CAPACITY)
                .filter(number -> !log.find("h1." + number).isEmpty())
                .count();
        assertThat(kept).isAtMost(CAPACITY);
        assertThat(log.find("h1." + (10 * CAPACITY - 1))).hasSize(1);
        assertThat(log.find("h1.0")).isEmpty();
    }

    @Test
    void requestIsReportedOnce() {
        finish("h1.1");
        assertThat(log.find("h1.1").get(0).code()).isEqualTo(ResultCode.ANSWERED.number());
        assertThat(registry.get("carawaylift.request.duration").timer().count()).isEqualTo(1);
    }
}

package io.carawaylift.decisions.admission;

import java.util.Optional;

/** Queue operations that {@link FloodSimulation} uses; the payload is the service time in nanoseconds. */
interface QueueUnderTest {
    void offer(Work<Long> work, long nowNanos);

    Optional<Work<Long>> next(long nowNanos);

    void finished(Work<Long> work, long nowNanos);

    static QueueUnderTest of(AdmissionQueue<Long> queue) {
        return new QueueUnderTest() {
            @Override
            public void offer(Work<Long> work, long nowNanos) {
                queue.offer(work, nowNanos);
            }

            @Override
            public Optional<Work<Long>> next(long nowNanos) {
                Optional<Work<Long>> next = queue.next(nowNanos);
                queue.expired(nowNanos);
                return next;
            }

            @Override
            public void finished(Work<Long> work, long nowNanos) {
                queue.finished(work, nowNanos);
            }
        };
    }
}

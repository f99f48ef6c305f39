package io.carawaylift.decisions.ownership;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import java.util.OptionalLong;
import java.util.TreeMap;

/** When the newest heartbeats were sent, in monotonic nanoseconds. */
final class SentHeartbeats {
    /** At one a second far more than a lease; an answer to an older one could not renew anything. */
    private static final int CAPACITY = 64;

    private final TreeMap<Long, Long> sentNanos = new TreeMap<>();

    void add(long number, long nowNanos) {
        if (!sentNanos.isEmpty() && number != sentNanos.lastKey() + 1) {
            throw new CarawayliftException(
                    ResultCode.INVARIANT_VIOLATED, "heartbeat " + number + " after " + sentNanos.lastKey());
        }
        sentNanos.put(number, nowNanos);
        if (sentNanos.size() > CAPACITY) {
            sentNanos.pollFirstEntry();
        }
    }

    /** Returns when a heartbeat was sent, empty if that is forgotten. */
    OptionalLong sentAt(long number) {
        if (sentNanos.isEmpty() || number > sentNanos.lastKey()) {
            throw new CarawayliftException(
                    ResultCode.INVARIANT_VIOLATED, "heartbeat " + number + " is confirmed but was never sent");
        }
        Long sent = sentNanos.get(number);
        return sent == null ? OptionalLong.empty() : OptionalLong.of(sent);
    }
}

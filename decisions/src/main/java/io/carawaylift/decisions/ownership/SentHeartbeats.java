package io.carawaylift.decisions.ownership;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Send times of the newest heartbeats, in monotonic nanoseconds. */
final class SentHeartbeats {
    /** At one heartbeat per second this is far more than a lease; a reply to an older one could not renew anything. */
    private static final int CAPACITY = 64;

    private final TreeMap<Long, Long> sentNanos = new TreeMap<>();

    void add(long number, long nowNanos) {
        if (!sentNanos.isEmpty() && number != sentNanos.lastKey() + 1) {
            throw new CarawayliftException(
                    ResultCode.INVARIANT_VIOLATED,
                    "heartbeat " + number + " does not directly follow " + sentNanos.lastKey());
        }
        sentNanos.put(number, nowNanos);
        if (sentNanos.size() > CAPACITY) {
            sentNanos.pollFirstEntry();
        }
    }

    /** Returns when a heartbeat was sent, empty if it is no longer recorded. */
    OptionalLong sentAt(long number) {
        if (sentNanos.isEmpty() || number > sentNanos.lastKey()) {
            throw new CarawayliftException(
                    ResultCode.INVARIANT_VIOLATED, "heartbeat " + number + " is confirmed but was never sent");
        }
        Long sent = sentNanos.get(number);
        return sent == null ? OptionalLong.empty() : OptionalLong.of(sent);
    }
}

package io.carawaylift.host;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.TimeUnit;

/** Finds out whether the peer of a channel has stopped to read. Used on the event loop only. */
final class SlowReaderCheck {
    private long unwrittenBytes;
    private long progress;
    private long progressNanos;

    /** Returns whether bytes are unwritten and none of them was written for a time; must be called regularly. */
    boolean isStuck(Channel channel, long nowNanos, long timeoutMillis) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        long unwritten = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        long written = buffer == null ? 0 : buffer.currentProgress();
        if (unwritten == 0 || unwritten != unwrittenBytes || written != progress) {
            unwrittenBytes = unwritten;
            progress = written;
            progressNanos = nowNanos;
            return false;
        }
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - progressNanos) > timeoutMillis;
    }
}

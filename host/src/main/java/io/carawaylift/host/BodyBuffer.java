package io.carawaylift.host;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/**
 * Collects a body in one buffer, since each part of a composite buffer has a cost, however few bytes it holds. Used on
 * the event loop only.
 */
final class BodyBuffer {
    /** Bytes allocated in advance at most, whatever length the sender announces. */
    private static final int MAX_INITIAL_BYTES = 128 * 1024;

    private static final int MIN_INITIAL_BYTES = 256;

    private final BufferBudget budget;
    private final ByteBuf bytes;
    private long reservedBytes;

    /** Creates a buffer; {@code announcedBytes} is the length that the sender announced, or negative. */
    BodyBuffer(ByteBufAllocator allocator, BufferBudget budget, long announcedBytes) {
        this.budget = budget;
        long initial = Math.max(MIN_INITIAL_BYTES, Math.min(MAX_INITIAL_BYTES, announcedBytes));
        this.bytes = allocator.buffer((int) initial);
    }

    /** Appends a copy of a part; returns false, without the part, if a limit would be exceeded. */
    boolean append(ByteBuf part) {
        if (!budget.tryReserve(part.readableBytes())) {
            return false;
        }
        reservedBytes += part.readableBytes();
        bytes.writeBytes(part, part.readerIndex(), part.readableBytes());
        return true;
    }

    /** Returns the collected bytes. */
    ByteBuf bytes() {
        return bytes;
    }

    /** Returns the reserved bytes to the budget once the collected bytes are no longer held. */
    void releaseBudget() {
        budget.release(reservedBytes);
        reservedBytes = 0;
    }

    /** Drops the collected bytes. */
    void release() {
        releaseBudget();
        bytes.release();
    }
}

package io.carawaylift.host;

/**
 * Bounds the bytes that are buffered at once, alone and together with others that share a parent. Used on the event
 * loop only.
 */
final class BufferBudget {
    private final long maxBytes;
    private final BufferBudget parent;
    private long usedBytes;

    /** Creates a budget without a parent. */
    BufferBudget(long maxBytes) {
        this(maxBytes, null);
    }

    private BufferBudget(long maxBytes, BufferBudget parent) {
        this.maxBytes = maxBytes;
        this.parent = parent;
    }

    /** Returns a budget whose bytes also count against this one. */
    BufferBudget part(long maxPartBytes) {
        return new BufferBudget(maxPartBytes, this);
    }

    /** Reserves bytes; returns false, without reserving any, if this budget or a parent is exhausted. */
    boolean tryReserve(long bytes) {
        if (usedBytes + bytes > maxBytes || (parent != null && !parent.tryReserve(bytes))) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    /** Returns reserved bytes. */
    void release(long bytes) {
        usedBytes -= bytes;
        if (parent != null) {
            parent.release(bytes);
        }
    }

    long usedBytes() {
        return usedBytes;
    }
}

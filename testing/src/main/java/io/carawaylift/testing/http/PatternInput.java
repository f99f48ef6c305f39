package io.carawaylift.testing.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.stream.ChunkedInput;
import java.io.IOException;

/** Writes generated content to a connection as fast as the peer reads it, and fails at a given offset. */
final class PatternInput implements ChunkedInput<ByteBuf> {
    private static final int CHUNK_BYTES = 16 << 10;

    private final PatternContent content;
    private final long start;
    private final long end;
    private final long abortOffset;
    private long position;

    PatternInput(PatternContent content, long start, long end, long abortOffset) {
        this.content = content;
        this.start = start;
        this.end = end;
        this.abortOffset = abortOffset;
        this.position = start;
    }

    @Override
    public boolean isEndOfInput() {
        return position >= end;
    }

    @Override
    public void close() {}

    /** Required by the interface; the implementation does not depend on the context. */
    @Override
    @Deprecated
    @SuppressWarnings("InlineMeSuggester") // Only Netty calls this method, so there are no callers to rewrite.
    public ByteBuf readChunk(ChannelHandlerContext context) throws Exception {
        return readChunk(context.alloc());
    }

    @Override
    public ByteBuf readChunk(ByteBufAllocator allocator) throws Exception {
        if (position >= abortOffset) {
            throw new IOException("aborted at offset " + abortOffset + " on request");
        }
        int length = (int) Math.min(CHUNK_BYTES, Math.min(end, abortOffset) - position);
        ByteBuf chunk = allocator.buffer(length);
        chunk.writeBytes(content.bytes(position, length));
        position += length;
        return chunk;
    }

    @Override
    public long length() {
        return end - start;
    }

    @Override
    public long progress() {
        return position - start;
    }
}

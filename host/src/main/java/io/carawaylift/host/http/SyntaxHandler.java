package io.carawaylift.host.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.BooleanSupplier;

/**
 * Stands before a decoder and passes it only bytes of valid messages. The first violation is passed on as an
 * {@link InvalidMessage} behind the objects of the messages before it; later bytes are dropped. Used on the event loop
 * only.
 */
public final class SyntaxHandler extends ChannelInboundHandlerAdapter {
    private final MessageSyntax syntax;
    private final BooleanSupplier mayBegin;
    private ChannelHandlerContext context;
    private ByteBuf held = Unpooled.EMPTY_BUFFER;
    private boolean passing;

    private SyntaxHandler(MessageSyntax syntax, BooleanSupplier mayBegin) {
        this.syntax = syntax;
        this.mayBegin = mayBegin;
    }

    /**
     * Returns a handler for the requests on a connection.
     *
     * @param mayBegin asked before each request; while it is false, the bytes of the request and those behind it are
     *     held until {@link #resume}
     */
    public static SyntaxHandler forRequests(BooleanSupplier mayBegin) {
        return new SyntaxHandler(MessageSyntax.ofRequests(), mayBegin);
    }

    /**
     * Returns a handler for the responses on a connection.
     *
     * @param headRequest whether the last request was HEAD, whose response has no body
     */
    public static SyntaxHandler forResponses(BooleanSupplier headRequest) {
        return new SyntaxHandler(MessageSyntax.ofResponses(headRequest), () -> true);
    }

    /** Passes on the messages that are held, as far as they may begin. */
    public void resume() {
        if (passing) {
            return;
        }
        passing = true;
        try {
            while (held.isReadable() && (!syntax.isBetweenMessages() || mayBegin.getAsBoolean())) {
                passPart();
            }
        } finally {
            passing = false;
        }
        if (!held.isReadable()) {
            releaseHeld();
        }
    }

    private void passPart() {
        if (syntax.invalid() != null) {
            held.skipBytes(held.readableBytes());
            return;
        }
        context.fireChannelRead(held.readRetainedSlice(syntax.nextPart(held)));
        if (syntax.invalid() != null) {
            context.fireChannelRead(syntax.invalid());
        }
    }

    /** Returns whether all bytes that were passed on belong to complete messages. */
    public boolean isBetweenMessages() {
        return syntax.isBetweenMessages();
    }

    /**
     * Returns whether the last message that was passed on, even in part, is a request with the method HEAD; its
     * response must have no body, also if the request is invalid.
     */
    public boolean isHeadRequest() {
        return syntax.isHeadRequest();
    }

    /** Returns the bytes that are held. */
    public int heldBytes() {
        return held.readableBytes();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext unused, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        held = held.isReadable() ? Unpooled.wrappedBuffer(held, bytes) : replaceHeld(bytes);
        resume();
    }

    private ByteBuf replaceHeld(ByteBuf bytes) {
        releaseHeld();
        return bytes;
    }

    private void releaseHeld() {
        held.release();
        held = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
        releaseHeld();
        closed.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext removed) {
        releaseHeld();
    }
}

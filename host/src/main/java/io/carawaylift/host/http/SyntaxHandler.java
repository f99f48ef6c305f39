package io.carawaylift.host.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;

/**
 * Stands before a decoder and passes it only bytes of valid messages. The first violation is passed on as an
 * {@link InvalidMessage} behind the objects of the messages before it; later bytes are dropped. Used on the event loop
 * only.
 */
public final class SyntaxHandler extends ChannelInboundHandlerAdapter {
    private final MessageSyntax syntax;

    private SyntaxHandler(MessageSyntax syntax) {
        this.syntax = syntax;
    }

    /** Returns a handler for the requests on a connection. */
    public static SyntaxHandler forRequests() {
        return new SyntaxHandler(MessageSyntax.ofRequests());
    }

    /**
     * Returns a handler for the responses on a connection.
     *
     * @param headRequest whether the last request was HEAD, whose response has no body
     */
    public static SyntaxHandler forResponses(BooleanSupplier headRequest) {
        return new SyntaxHandler(MessageSyntax.ofResponses(headRequest));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (syntax.invalid() != null) {
            ReferenceCountUtil.release(bytes);
            return;
        }
        int valid = syntax.validBytes(bytes);
        bytes.writerIndex(bytes.readerIndex() + valid);
        context.fireChannelRead(bytes);
        if (syntax.invalid() != null) {
            context.fireChannelRead(syntax.invalid());
        }
    }
}

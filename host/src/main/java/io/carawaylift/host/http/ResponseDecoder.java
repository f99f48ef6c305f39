package io.carawaylift.host.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** Decodes responses; a response to HEAD has no body whatever its headers say. Used on the event loop only. */
public final class ResponseDecoder extends HttpResponseDecoder {
    private boolean headRequest;
    private boolean bodyless;
    private boolean bodyAnnounced;

    /** Must be called with the method of each request before its response arrives. */
    public void requestSent(HttpMethod method) {
        headRequest = method.equals(HttpMethod.HEAD);
    }

    /** Returns whether the last request was HEAD. */
    public boolean isHeadRequest() {
        return headRequest;
    }

    /** Returns whether the end of the last decoded response does not depend on the end of the connection. */
    public boolean isDelimited(HttpResponse head) {
        return bodyless || HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
    }

    /**
     * Returns whether the last decoded response has no body because of its status although its headers announce one.
     * A body may follow nevertheless.
     */
    public boolean isBodyAnnounced() {
        return bodyAnnounced;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean emptyByStatus = super.isContentAlwaysEmpty(message);
        boolean noContent = message instanceof HttpResponse response
                && response.status().code() == HttpResponseStatus.NO_CONTENT.code();
        bodyless = headRequest || emptyByStatus;
        bodyAnnounced = emptyByStatus
                && !headRequest
                && (HttpUtil.isTransferEncodingChunked(message)
                        || (noContent && HttpUtil.getContentLength(message, 0L) > 0));
        return bodyless;
    }
}

package io.carawaylift.host;

import io.carawaylift.model.ResultCode;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Parts of the answers that carawaylift makes itself. */
final class LocalResponses {
    private static final HttpHeadersFactory HEADERS =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private LocalResponses() {}

    /** Returns headers without a content. */
    static HttpHeaders headers() {
        return HEADERS.newHeaders();
    }

    /** Returns headers of a JSON body. */
    static HttpHeaders jsonHeaders() {
        return headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }

    /** Returns the body of a refusal or failure; {@code detail} must need no escaping. */
    static String body(ResultCode code, String detail) {
        return "{\"code\":" + code.number() + ",\"meaning\":\"" + code.meaning() + "\",\"detail\":\"" + detail
                + "\"}\n";
    }
}

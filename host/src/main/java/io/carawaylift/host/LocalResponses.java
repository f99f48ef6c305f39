package io.carawaylift.host;

import io.carawaylift.model.ResultCode;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Headers and bodies of the responses that carawaylift generates itself. */
final class LocalResponses {
    private static final HttpHeadersFactory HEADERS =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private LocalResponses() {}

    static HttpHeaders headers() {
        return HEADERS.newHeaders();
    }

    /** Returns the headers of a JSON body. */
    static HttpHeaders jsonHeaders() {
        return headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }

    /**
     * Returns the JSON body of an error response. {@code detail} is inserted as it is, so it must need no JSON
     * escaping.
     */
    static String body(ResultCode code, String detail) {
        return "{\"code\":" + code.number() + ",\"meaning\":\"" + code.meaning() + "\",\"detail\":\"" + detail
                + "\"}\n";
    }
}

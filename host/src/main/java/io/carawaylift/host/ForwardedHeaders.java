package io.carawaylift.host;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies end-to-end headers from one connection to another. */
final class ForwardedHeaders {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    /** Creates headers without validation; the decoder has already validated the copied ones. */
    private static final HttpHeadersFactory UNCHECKED =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private ForwardedHeaders() {}

    /** Returns a copy without hop-by-hop headers and without Content-Length, which the sender of the copy sets. */
    static HttpHeaders copyOf(HttpHeaders source) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        for (String value : source.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                dropped.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders copy = UNCHECKED.newHeaders();
        for (Map.Entry<String, String> header : source) {
            if (!dropped.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}

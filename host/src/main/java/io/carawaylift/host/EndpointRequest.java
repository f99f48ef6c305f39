package io.carawaylift.host;

import io.carawaylift.decisions.customer.Customer;
import io.carawaylift.platform.store.RequestHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Creates the request to an endpoint from the request of a caller. */
final class EndpointRequest {
    private EndpointRequest() {}

    /**
     * Creates a request with the end-to-end headers of the caller's, except its key and the customer that it claims.
     * The caller must release it; the body is shared.
     *
     * @param customer the customer that the endpoint is told; empty if there is none
     */
    static FullHttpRequest create(
            HttpRequest head, ByteBuf body, String endpointId, long remainingMillis, Optional<Customer> customer) {
        HttpHeaders headers = ForwardedHeaders.copyOf(head.headers());
        headers.set(RequestHeaders.REMAINING_MILLIS, remainingMillis);
        headers.set(RequestHeaders.EXPECTED_ENDPOINT, endpointId);
        headers.remove(RequestHeaders.CREDENTIAL);
        headers.remove(RequestHeaders.CUSTOMER);
        customer.ifPresent(each -> headers.set(RequestHeaders.CUSTOMER, headerValue(each.name())));
        boolean hasBody = body.isReadable() || HttpUtil.isTransferEncodingChunked(head);
        if (hasBody || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                head.method(),
                head.uri(),
                body.retainedDuplicate(),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    /** Returns text whose characters are the UTF-8 bytes of the value; the encoder writes one byte per character. */
    private static String headerValue(String value) {
        return new String(value.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }
}

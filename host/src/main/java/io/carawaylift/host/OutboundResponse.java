package io.carawaylift.host;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response from an endpoint or the store.
 *
 * @param body owned by the receiver, which must release it
 */
record OutboundResponse(int status, HttpHeaders headers, ByteBuf body) {}

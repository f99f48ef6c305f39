package io.carawaylift.host;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete answer of an endpoint or the store.
 *
 * @param body belongs to the receiver, which releases it
 */
record OutboundResponse(int status, HttpHeaders headers, ByteBuf body) {}

package io.carawaylift.host;

import io.carawaylift.model.ResultCode;
import io.netty.handler.codec.http.HttpRequest;

/** Handles complete requests of callers. Called on the event loop. */
interface CallerHandler {
    /** Starts to process a request. The handler takes ownership of {@code body} and must release it. */
    CallerRequest handle(CallerExchange exchange, HttpRequest head, BodyBuffer body, long arrivedNanos);

    /** Returns whether a request may run beside others of its connection: only if all are idempotent. */
    boolean isConcurrent(HttpRequest head);

    /** Called when a request is refused before it was read whole; {@code head} is null if it was not read. */
    void refused(HttpRequest head, ResultCode code, int status);
}

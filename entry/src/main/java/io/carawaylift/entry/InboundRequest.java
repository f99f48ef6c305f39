package io.carawaylift.entry;

import io.carawaylift.model.Headers;
import io.carawaylift.model.Rank;
import okio.ByteString;

/**
 * A request of a caller or of another entry process.
 *
 * @param target path and query that the upstream receives
 * @param headers headers to forward
 * @param deadlineNanos monotonic time after which the response is useless
 * @param idempotent whether it may be sent more than once
 * @param ticket text of the ticket, empty if there is none
 * @param hop number of entry processes that forwarded it before it reached this one
 * @param attempt number of the sender's attempt, starting at 1
 */
record InboundRequest(
        String id,
        String method,
        String service,
        String target,
        HeaderList headers,
        ByteString body,
        Rank rank,
        String customer,
        long receivedNanos,
        long deadlineNanos,
        boolean idempotent,
        String ticket,
        int hop,
        int attempt) {

    /**
     * Returns the headers to send to an endpoint or another entry process. The deadline is added when the request is
     * sent.
     */
    HeaderList outboundHeaders() {
        HeaderList list = headers.with(Headers.REQUEST_ID, id).with(Headers.RANK, rank.label());
        if (!customer.isEmpty()) {
            list = list.with(Headers.CUSTOMER, customer);
        }
        return ticket.isEmpty() ? list : list.with(Headers.TICKET, ticket);
    }

    /** Returns a request for the remainder of a body that was truncated after {@code offset} bytes. */
    InboundRequest resumedAt(long offset, String etag) {
        return copy(headers.with("Range", "bytes=" + offset + "-").with("If-Range", etag), attempt);
    }

    /** Returns this request with another attempt number. */
    InboundRequest asAttempt(int number) {
        return copy(headers, number);
    }

    private InboundRequest copy(HeaderList newHeaders, int newAttempt) {
        return new InboundRequest(
                id,
                method,
                service,
                target,
                newHeaders,
                body,
                rank,
                customer,
                receivedNanos,
                deadlineNanos,
                idempotent,
                ticket,
                hop,
                newAttempt);
    }
}

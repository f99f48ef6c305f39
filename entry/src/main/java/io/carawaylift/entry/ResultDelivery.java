package io.carawaylift.entry;

import io.carawaylift.entry.AttemptResult.Answered;
import io.carawaylift.entry.CallerResponse.BodyWriter;
import io.carawaylift.model.Headers;
import io.carawaylift.model.ResultCode;

/** Delivers a result to a caller or to the entry process that sent the request. Thread-safe. */
final class ResultDelivery {
    private final RequestExecution.Dependencies executionDependencies;
    private final LinkPacer pacer;
    private final String region;

    ResultDelivery(RequestExecution.Dependencies executionDependencies, LinkPacer pacer, String region) {
        this.executionDependencies = executionDependencies;
        this.pacer = pacer;
        this.region = region;
    }

    /**
     * A request that has not been answered yet.
     *
     * @param toRegion region of the process that receives the response; the local one for callers
     */
    record PendingRequest(InboundRequest request, RequestTrace trace, CallerResponse response, String toRegion) {}

    /** Returns the region to which the response is sent. */
    String regionOf(RawRequest raw, int hop) {
        return hop == 0 ? region : raw.headers().first(Headers.FROM_REGION).orElse(region);
    }

    /**
     * Sends the result. Blocks only if the body is not fully buffered, or if it is long and goes to another region.
     */
    void deliver(PendingRequest pending, AttemptResult result) {
        if (!(result instanceof Answered answered)) {
            OwnResponses.send(pending.response(), pending.trace().id(), result);
            pending.trace().finish(result.code(), result.detail());
            return;
        }
        boolean crossRegion = !pending.toRegion().equals(region);
        if (answered.remainingBody().isPresent()
                || (crossRegion && answered.bufferedBody().size() > BodyCopier.CHUNK_BYTES)) {
            streamBody(pending, answered);
        } else {
            sendWhole(pending, answered);
        }
    }

    private void sendWhole(PendingRequest pending, Answered answered) {
        HeaderList headers = headers(pending, answered);
        int bytes = headers.wireBytes() + answered.bufferedBody().size();
        boolean sent = pacer.schedule(
                pending.toRegion(),
                bytes,
                pending.request().deadlineNanos(),
                () -> pending.response()
                        .send(answered.status(), headers, answered.bufferedBody(), answered.declaredLength()));
        if (!sent) {
            pending.response().abort();
        }
        pending.trace().finish(sent ? answered.code() : ResultCode.ANSWER_CUT, sent ? "" : "link has no room");
    }

    private void streamBody(PendingRequest pending, Answered answered) {
        BodyWriter writer = pending.response()
                .begin(
                        answered.status(),
                        headers(pending, answered),
                        answered.declaredLength(),
                        pending.request().deadlineNanos());
        new BodyCopier(pending, executionDependencies, pacer, writer, answered).copyFirst(answered);
    }

    private static HeaderList headers(PendingRequest pending, Answered answered) {
        HeaderList headers = answered.headers()
                .endToEnd()
                .with(Headers.CODE, Integer.toString(answered.code().number()))
                .with(Headers.REQUEST_ID, pending.trace().id());
        boolean toEntry = pending.trace().hop() > 0;
        return toEntry && !answered.endpoint().isEmpty()
                ? headers.with(Headers.ENDPOINT, answered.endpoint())
                : headers;
    }
}

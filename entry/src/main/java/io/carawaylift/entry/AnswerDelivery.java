package io.carawaylift.entry;

import io.carawaylift.entry.AttemptResult.Answered;
import io.carawaylift.entry.CallerResponse.BodyWriter;
import io.carawaylift.model.Headers;
import io.carawaylift.model.ResultCode;

/** Delivers a result to a caller or to the entry process that sent the request. Thread-safe. */
final class AnswerDelivery {
    private final RequestRun.Means means;
    private final LinkPacer pacer;
    private final String region;

    AnswerDelivery(RequestRun.Means means, LinkPacer pacer, String region) {
        this.means = means;
        this.pacer = pacer;
        this.region = region;
    }

    /**
     * One request whose answer is awaited.
     *
     * @param toRegion region of the process that receives the answer; the own one for callers
     */
    record Exchange(InboundRequest request, RequestTrace trace, CallerResponse response, String toRegion) {}

    /** Returns the region to which the answer to a request goes. */
    String regionOf(RawRequest raw, int hop) {
        return hop == 0 ? region : raw.headers().first(Headers.FROM_REGION).orElse(region);
    }

    /** Sends the result; blocks only for an answer with a rest, or a long one to another region. */
    void deliver(Exchange exchange, AttemptResult result) {
        if (!(result instanceof Answered answer)) {
            OwnAnswers.send(exchange.response(), exchange.trace().id(), result);
            exchange.trace().finish(result.code(), result.detail());
            return;
        }
        boolean far = !exchange.toRegion().equals(region);
        if (answer.rest().isPresent() || (far && answer.head().size() > BodyCopy.PIECE_BYTES)) {
            stream(exchange, answer);
        } else {
            sendWhole(exchange, answer);
        }
    }

    private void sendWhole(Exchange exchange, Answered answer) {
        HeaderList headers = headers(exchange, answer);
        int bytes = headers.wireBytes() + answer.head().size();
        boolean sent = pacer.schedule(
                exchange.toRegion(),
                bytes,
                exchange.request().deadlineNanos(),
                () -> exchange.response().send(answer.status(), headers, answer.head(), answer.declaredLength()));
        if (!sent) {
            exchange.response().abort();
        }
        exchange.trace().finish(sent ? answer.code() : ResultCode.ANSWER_CUT, sent ? "" : "link has no room");
    }

    private void stream(Exchange exchange, Answered answer) {
        BodyWriter writer = exchange.response()
                .begin(
                        answer.status(),
                        headers(exchange, answer),
                        answer.declaredLength(),
                        exchange.request().deadlineNanos());
        new BodyCopy(exchange, means, pacer, writer, answer).first(answer);
    }

    private static HeaderList headers(Exchange exchange, Answered answer) {
        HeaderList headers = answer.headers()
                .endToEnd()
                .with(Headers.CODE, Integer.toString(answer.code().number()))
                .with(Headers.REQUEST_ID, exchange.trace().id());
        boolean toEntry = exchange.trace().hop() > 0;
        return toEntry && !answer.endpoint().isEmpty() ? headers.with(Headers.ENDPOINT, answer.endpoint()) : headers;
    }
}

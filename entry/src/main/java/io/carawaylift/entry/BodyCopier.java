package io.carawaylift.entry;

import io.carawaylift.entry.AttemptResult.Answered;
import io.carawaylift.entry.CallerResponse.BodyWriter;
import io.carawaylift.entry.ResultDelivery.PendingRequest;
import io.carawaylift.model.ResultCode;
import java.io.IOException;
import java.util.Optional;
import okio.ByteString;

/**
 * Streams a response body to the caller with back pressure. If the body is truncated and has a strong validator, the
 * remainder is fetched with a range request, possibly from another endpoint. If the body stays incomplete, the caller's
 * connection is aborted. Not thread-safe.
 */
final class BodyCopier {
    /** Max size of one write, small enough for the pacing of links. */
    static final int CHUNK_BYTES = 16 * 1024;

    private static final int OK = 200;
    private static final int PARTIAL_CONTENT = 206;

    private final PendingRequest pending;
    private final RequestExecution.Dependencies executionDependencies;
    private final LinkPacer pacer;
    private final BodyWriter writer;
    private final String etag;
    private final long length;
    private final boolean resumable;
    private final ResultCode code;
    private long written;

    BodyCopier(
            PendingRequest pending,
            RequestExecution.Dependencies executionDependencies,
            LinkPacer pacer,
            BodyWriter writer,
            Answered answered) {
        this.pending = pending;
        this.executionDependencies = executionDependencies;
        this.pacer = pacer;
        this.writer = writer;
        this.code = answered.code();
        this.etag = strongTag(answered);
        this.length = answered.declaredLength();
        InboundRequest request = pending.request();
        this.resumable = !etag.isEmpty()
                && answered.status() == OK
                && request.hop() == 0
                && request.idempotent()
                && request.method().equals("GET")
                && request.headers().first("Range").isEmpty();
    }

    /** Copies the body of the response whose headers the writer has sent. */
    void copyFirst(Answered answered) {
        copy(answered, 0);
    }

    private void copy(Answered answered, long skip) {
        try {
            transfer(answered, skip);
        } catch (TruncatedBodyException e) {
            resume(String.valueOf(e.getMessage()));
            return;
        } catch (IOException e) {
            abort(String.valueOf(e.getMessage()));
            return;
        }
        if (length >= 0 && written != length) {
            abort("the body has " + written + " of " + length + " bytes");
            return;
        }
        writer.finish();
        pending.trace().finish(code, "");
    }

    private void transfer(Answered answered, long skip) throws IOException {
        long bytesToSkip = skip;
        for (int offset = 0; offset < answered.bufferedBody().size(); offset += CHUNK_BYTES) {
            int end = Math.min(answered.bufferedBody().size(), offset + CHUNK_BYTES);
            bytesToSkip = write(answered.bufferedBody().substring(offset, end), bytesToSkip);
        }
        if (answered.remainingBody().isEmpty()) {
            return;
        }
        byte[] chunk = new byte[CHUNK_BYTES];
        for (int count = read(answered.remainingBody().get(), chunk);
                count >= 0;
                count = read(answered.remainingBody().get(), chunk)) {
            bytesToSkip = write(ByteString.of(chunk, 0, count), bytesToSkip);
        }
    }

    /** Writes a chunk without its first {@code skip} bytes; returns how many bytes are still to be skipped. */
    private long write(ByteString chunk, long skip) throws IOException {
        int skipped = (int) Math.min(skip, chunk.size());
        ByteString unsent = chunk.substring(skipped);
        if (!pacer.awaitBudget(
                pending.toRegion(), unsent.size(), pending.request().deadlineNanos())) {
            throw new IOException("link to region " + pending.toRegion() + " has no room before the deadline");
        }
        if (unsent.size() > 0) {
            writer.write(unsent);
        }
        written += unsent.size();
        return skip - skipped;
    }

    private static int read(BodySource source, byte[] chunk) throws IOException {
        try {
            return source.read(chunk);
        } catch (IOException e) {
            throw new TruncatedBodyException(e);
        }
    }

    private void resume(String reason) {
        boolean inTime =
                executionDependencies.clock().getAsLong() < pending.request().deadlineNanos();
        if (!resumable || !inTime) {
            abort(reason);
            return;
        }
        InboundRequest remainder = pending.request().resumedAt(written, etag);
        RequestExecution execution =
                new RequestExecution(remainder, executionDependencies, pending.trace(), this::copyRemaining);
        pending.response().onDisconnect(() -> {
            execution.cancel();
            abort("the caller left");
        });
        execution.startAsRetry();
    }

    private void copyRemaining(AttemptResult result) {
        if (!(result instanceof Answered answered) || !strongTag(answered).equals(etag)) {
            abort("the rest after " + written + " bytes was not available: " + result.code());
        } else if (answered.status() == PARTIAL_CONTENT && startsAt(answered, written)) {
            copy(answered, 0);
        } else if (answered.status() == OK) {
            copy(answered, written);
        } else {
            abort("the rest after " + written + " bytes was answered with status " + answered.status());
        }
    }

    private void abort(String reason) {
        writer.abort();
        pending.trace().finish(ResultCode.ANSWER_CUT, reason);
    }

    private static boolean startsAt(Answered answered, long offset) {
        Optional<String> range = answered.headers().first("Content-Range");
        return range.isPresent() && range.get().startsWith("bytes " + offset + "-");
    }

    /** Returns the strong entity tag, or an empty string if the tag is weak or absent. */
    private static String strongTag(Answered answered) {
        return answered.headers()
                .first("ETag")
                .filter(tag -> tag.startsWith("\""))
                .orElse("");
    }

    /** Reading the upstream's body failed, as opposed to writing it to the caller. */
    private static final class TruncatedBodyException extends IOException {
        private static final long serialVersionUID = 1L;

        TruncatedBodyException(IOException cause) {
            super("the upstream's body broke off: " + cause.getMessage(), cause);
        }
    }
}

package io.carawaylift.entry;

import io.carawaylift.entry.AttemptResult.Answered;
import io.carawaylift.entry.CallerResponse.BodyWriter;
import io.carawaylift.entry.ResultDelivery.PendingRequest;
import io.carawaylift.model.ResultCode;
import java.io.IOException;
import java.util.Optional;
import okio.ByteString;

/**
 * Copies a long body to the caller with back pressure, and fetches the rest from another endpoint if it breaks off and the
 * answer has a strong validator. A body that stays incomplete ends with an aborted connection. One thread at a time.
 */
final class BodyCopier {
    /** Piece that is written at a time, small enough for the pacing of links. */
    static final int CHUNK_BYTES = 16 * 1024;

    private static final int OK = 200;
    private static final int PARTIAL_CONTENT = 206;

    private final PendingRequest pending;
    private final RequestExecution.Dependencies runDependencies;
    private final LinkPacer pacer;
    private final BodyWriter writer;
    private final String etag;
    private final long length;
    private final boolean mayResume;
    private final ResultCode code;
    private long written;

    BodyCopier(
            PendingRequest pending,
            RequestExecution.Dependencies runDependencies,
            LinkPacer pacer,
            BodyWriter writer,
            Answered answer) {
        this.pending = pending;
        this.runDependencies = runDependencies;
        this.pacer = pacer;
        this.writer = writer;
        this.code = answer.code();
        this.etag = strongTag(answer);
        this.length = answer.declaredLength();
        InboundRequest request = pending.request();
        this.mayResume = !etag.isEmpty()
                && answer.status() == OK
                && request.hop() == 0
                && request.idempotent()
                && request.method().equals("GET")
                && request.headers().first("Range").isEmpty();
    }

    /** Copies the answer that the writer was started for. */
    void first(Answered answer) {
        copy(answer, 0);
    }

    private void copy(Answered answer, long skip) {
        try {
            transfer(answer, skip);
        } catch (BrokenBodyException e) {
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

    private void transfer(Answered answer, long skip) throws IOException {
        long left = skip;
        for (int at = 0; at < answer.bufferedBody().size(); at += CHUNK_BYTES) {
            int end = Math.min(answer.bufferedBody().size(), at + CHUNK_BYTES);
            left = write(answer.bufferedBody().substring(at, end), left);
        }
        if (answer.remainingBody().isEmpty()) {
            return;
        }
        byte[] piece = new byte[CHUNK_BYTES];
        for (int count = read(answer.remainingBody().get(), piece);
                count >= 0;
                count = read(answer.remainingBody().get(), piece)) {
            left = write(ByteString.of(piece, 0, count), left);
        }
    }

    /** Writes a piece without its first {@code skip} bytes; returns how many bytes are still to be skipped. */
    private long write(ByteString piece, long skip) throws IOException {
        int skipped = (int) Math.min(skip, piece.size());
        ByteString part = piece.substring(skipped);
        if (!pacer.await(pending.toRegion(), part.size(), pending.request().deadlineNanos())) {
            throw new IOException("link to region " + pending.toRegion() + " has no room before the deadline");
        }
        if (part.size() > 0) {
            writer.write(part);
        }
        written += part.size();
        return skip - skipped;
    }

    private static int read(BodySource source, byte[] piece) throws IOException {
        try {
            return source.read(piece);
        } catch (IOException e) {
            throw new BrokenBodyException(e);
        }
    }

    private void resume(String reason) {
        boolean inTime = runDependencies.clock().getAsLong() < pending.request().deadlineNanos();
        if (!mayResume || !inTime) {
            abort(reason);
            return;
        }
        InboundRequest rest = pending.request().resumedAt(written, etag);
        RequestExecution run = new RequestExecution(rest, runDependencies, pending.trace(), this::resumed);
        pending.response().onDisconnect(() -> {
            run.cancel();
            abort("the caller left");
        });
        run.startAsRetry();
    }

    private void resumed(AttemptResult result) {
        if (!(result instanceof Answered answer) || !strongTag(answer).equals(etag)) {
            abort("the rest after " + written + " bytes was not available: " + result.code());
        } else if (answer.status() == PARTIAL_CONTENT && startsAt(answer, written)) {
            copy(answer, 0);
        } else if (answer.status() == OK) {
            copy(answer, written);
        } else {
            abort("the rest after " + written + " bytes was answered with status " + answer.status());
        }
    }

    private void abort(String reason) {
        writer.abort();
        pending.trace().finish(ResultCode.ANSWER_CUT, reason);
    }

    private static boolean startsAt(Answered answer, long offset) {
        Optional<String> range = answer.headers().first("Content-Range");
        return range.isPresent() && range.get().startsWith("bytes " + offset + "-");
    }

    /** Returns the entity tag, or an empty text if there is none or it is a weak one. */
    private static String strongTag(Answered answer) {
        return answer.headers()
                .first("ETag")
                .filter(tag -> tag.startsWith("\""))
                .orElse("");
    }

    /** The upstream's side failed, not the caller's. */
    private static final class BrokenBodyException extends IOException {
        private static final long serialVersionUID = 1L;

        BrokenBodyException(IOException cause) {
            super("the upstream's body broke off: " + cause.getMessage(), cause);
        }
    }
}

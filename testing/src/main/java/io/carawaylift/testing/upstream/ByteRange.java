package io.carawaylift.testing.upstream;

import io.carawaylift.testing.http.HttpExchange;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Byte range that a request asks for, from {@code start} inclusive to {@code end} exclusive. */
record ByteRange(long start, long end) {
    private static final Pattern RANGE = Pattern.compile("bytes=(\\d+)-(\\d*)");

    /**
     * Returns the requested range, or empty if the request has no valid range or its {@code If-Range} names another
     * ETag.
     */
    static Optional<ByteRange> requested(HttpExchange call, long length, String etag) {
        if (call.header("If-Range").filter(condition -> !condition.equals(etag)).isPresent()) {
            return Optional.empty();
        }
        return call.header("Range")
                .map(RANGE::matcher)
                .filter(Matcher::matches)
                .map(matcher -> new ByteRange(Long.parseLong(matcher.group(1)), end(matcher.group(2), length)));
    }

    private static long end(String last, long length) {
        return last.isEmpty() ? length : Math.min(length, Long.parseLong(last) + 1);
    }

    boolean isSatisfiable() {
        return start < end;
    }
}

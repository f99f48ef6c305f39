package io.carawaylift.entry;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.Headers;
import io.carawaylift.model.Rank;
import io.carawaylift.model.ResultCode;
import io.carawaylift.model.ServiceRow;
import io.carawaylift.model.Table;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Parses requests and validates them against the table. */
final class RequestParser {
    private static final int MAX_CUSTOMER_LENGTH = 128;
    private static final int MAX_HOPS = 2;

    private RequestParser() {}

    /**
     * Parses a request.
     *
     * @throws CarawayliftException with the code of the refusal if the request is malformed or its service is unknown
     */
    static InboundRequest parse(RawRequest raw, String id, Table table, long nowNanos) {
        int end = endOfService(raw.uri());
        String name = raw.uri().substring(1, end);
        ServiceRow service = table.service(name)
                .orElseThrow(() -> new CarawayliftException(ResultCode.UNKNOWN_SERVICE, "service '" + name + "'"));
        checkMethod(raw);
        HeaderList headers = raw.headers();
        return new InboundRequest(
                id,
                raw.method(),
                name,
                target(raw.uri().substring(end)),
                headers.endToEnd(),
                raw.body(),
                rank(headers, service),
                customer(headers),
                nowNanos,
                nowNanos + TimeUnit.MILLISECONDS.toNanos(deadlineMs(headers, service)),
                service.isIdempotent(raw.method()),
                headers.first(Headers.TICKET).orElse(""),
                boundedInt(headers, Headers.HOP, 0, MAX_HOPS),
                Math.max(1, boundedInt(headers, Headers.ATTEMPT, 1, Integer.MAX_VALUE)));
    }

    /** Returns the number of entry processes that forwarded the request, or 0 if the header is malformed. */
    static int hop(HeaderList headers) {
        try {
            return boundedInt(headers, Headers.HOP, 0, MAX_HOPS);
        } catch (CarawayliftException e) {
            return 0;
        }
    }

    private static int endOfService(String uri) {
        if (!uri.startsWith("/")) {
            throw badRequest("path '" + uri + "' does not start with a slash");
        }
        int end = 1;
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return end;
    }

    private static String target(String pathAndQuery) {
        return pathAndQuery.startsWith("/") ? pathAndQuery : "/" + pathAndQuery;
    }

    private static void checkMethod(RawRequest raw) {
        String method = raw.method();
        if (method.equals("CONNECT") || method.equals("TRACE")) {
            throw badRequest("method " + method + " is not forwarded");
        }
        boolean bodyless = method.equals("GET") || method.equals("HEAD");
        if (bodyless && raw.body().size() > 0) {
            throw badRequest("method " + method + " with a body");
        }
    }

    private static Rank rank(HeaderList headers, ServiceRow service) {
        Optional<String> label = headers.first(Headers.RANK);
        if (label.isEmpty()) {
            return service.rank();
        }
        return Rank.ofLabel(label.get())
                .orElseThrow(() -> badRequest(Headers.RANK + " '" + label.get() + "' names no rank"));
    }

    private static String customer(HeaderList headers) {
        String customer = headers.first(Headers.CUSTOMER).orElse("");
        if (customer.length() > MAX_CUSTOMER_LENGTH) {
            throw badRequest(Headers.CUSTOMER + " is longer than " + MAX_CUSTOMER_LENGTH + " characters");
        }
        return customer;
    }

    private static long deadlineMs(HeaderList headers, ServiceRow service) {
        Optional<String> text = headers.first(Headers.DEADLINE_MS);
        if (text.isEmpty()) {
            return service.maxDeadlineMs();
        }
        long requestedMillis = parseLong(Headers.DEADLINE_MS, text.get());
        if (requestedMillis <= 0) {
            throw new CarawayliftException(ResultCode.DEADLINE_TOO_SHORT, Headers.DEADLINE_MS + " " + requestedMillis);
        }
        return Math.min(requestedMillis, service.maxDeadlineMs());
    }

    private static int boundedInt(HeaderList headers, String name, int defaultValue, int max) {
        Optional<String> text = headers.first(name);
        if (text.isEmpty()) {
            return defaultValue;
        }
        long value = parseLong(name, text.get());
        if (value < 0 || value > max) {
            throw badRequest(name + " " + value + " is not from 0 to " + max);
        }
        return (int) value;
    }

    private static long parseLong(String name, String text) {
        try {
            return Long.parseLong(text.strip());
        } catch (NumberFormatException e) {
            throw new CarawayliftException(ResultCode.BAD_REQUEST, name + " '" + text + "' is not a whole number", e);
        }
    }

    private static CarawayliftException badRequest(String detail) {
        return new CarawayliftException(ResultCode.BAD_REQUEST, detail);
    }
}

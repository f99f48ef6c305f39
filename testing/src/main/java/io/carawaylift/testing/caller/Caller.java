package io.carawaylift.testing.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.carawaylift.model.Headers;
import io.carawaylift.model.Outcome;
import io.carawaylift.model.ResultCode;
import io.carawaylift.testing.caller.CallResult.Content;
import io.carawaylift.testing.http.HttpCalls;
import io.carawaylift.testing.http.PatternContent;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Client that sends calls to the entry hosts returned by a lookup. At-most-once work carries a ticket, which is reused by
 * retries at other hosts. Thread-safe; calls block.
 */
public final class Caller {
    private static final int MAX_ATTEMPTS = 4;
    private static final int REQUEST_BODY_BYTES = 300;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long LOOKUP_TIMEOUT_MILLIS = 1_000;
    private static final long RESPONSE_GRACE_MILLIS = 1_500;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Rejections that do not indicate overload, so that the call is retried at another entry host. */
    private static final Set<ResultCode> RETRYABLE_ELSEWHERE =
            Set.of(ResultCode.NO_TABLE, ResultCode.STOPPING, ResultCode.CONNECT_FAILED, ResultCode.NOT_OWNER);

    private final OkHttpClient client = new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .connectionPool(new ConnectionPool(200, 20, TimeUnit.SECONDS))
            .build();
    private final List<LookupClient> lookups = new ArrayList<>();
    private final AtomicLong lookupFailures = new AtomicLong();

    /** Creates a caller that sends lookups to these programs on behalf of several client addresses in turn. */
    public Caller(List<String> lookupUrls, List<String> clientAddresses) {
        HttpCalls http = new HttpCalls(LOOKUP_TIMEOUT_MILLIS);
        for (int index = 0; index < clientAddresses.size(); index++) {
            lookups.add(new LookupClient(http, lookupUrls, clientAddresses.get(index), index, lookupFailures));
        }
    }

    /** Returns how many lookups failed. */
    public long lookupFailures() {
        return lookupFailures.get();
    }

    /** Closes idle connections. */
    public void close() {
        client.connectionPool().evictAll();
    }

    /** Makes one call. {@code token} becomes part of the path and must be unique. */
    public CallResult call(LoadPart part, String token, int number) {
        return new Call(part, token, number).run();
    }

    /** State of one call over its attempts. */
    private final class Call {
        private final LoadPart part;
        private final int number;
        private final String path;
        private final String uri;
        private final byte[] body;
        private final long deadlineNanos;
        private String ticket;
        private int attempts;
        private int cutAttempts;
        private int refusedConnections;
        private boolean mayHaveRun;
        private ResultCode code;
        private int status;
        private String requestId = "";
        private Content content = Content.NONE;

        Call(LoadPart part, String token, int number) {
            this.part = part;
            this.number = number;
            this.path = part.action() + "/" + token;
            this.uri = path + "?bytes=" + part.bytes();
            this.body = part.atMostOnce() ? new PatternContent(token).bytes(0, REQUEST_BODY_BYTES) : new byte[0];
            this.deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(part.deadlineMs());
        }

        CallResult run() {
            LookupClient lookup = lookups.get(number % lookups.size());
            boolean settled = false;
            for (int attempt = 0; attempt < MAX_ATTEMPTS && !settled && remainingMillis() > 0; attempt++) {
                List<String> entries = lookup.entryUrls();
                settled = !entries.isEmpty() && attemptAt(entries.get(attempt % entries.size()));
            }
            int codeNumber = code == null ? 0 : code.number();
            return new CallResult(
                    path, outcome(), codeNumber, status, attempts, cutAttempts, refusedConnections, content, requestId);
        }

        /**
         * Returns the outcome over all attempts. A later rejection does not prove that an earlier, interrupted attempt
         * did not run.
         */
        private Outcome outcome() {
            if (code != null && code.outcome() == Outcome.ANSWERED && content != Content.NONE) {
                return Outcome.ANSWERED;
            }
            return mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        }

        private long remainingMillis() {
            return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        }

        private boolean attemptAt(String entryUrl) {
            if (part.atMostOnce() && ticket == null) {
                ticket = fetchTicket(entryUrl).orElse(null);
                if (ticket == null) {
                    return false;
                }
            }
            attempts++;
            try (Response response = send(request(entryUrl))) {
                return handleResponse(response);
            } catch (IOException e) {
                recordFailure(e);
                return false;
            }
        }

        private Request request(String entryUrl) {
            Request.Builder request = new Request.Builder()
                    .url(entryUrl + "/" + part.service() + uri)
                    .header(Headers.RANK, part.rank().label())
                    .header(
                            Headers.CUSTOMER,
                            part.customers().get(number % part.customers().size()))
                    .header(Headers.DEADLINE_MS, Long.toString(Math.max(1, remainingMillis())));
            if (part.atMostOnce()) {
                request.header(Headers.TICKET, ticket).method(part.method(), RequestBody.create(body));
            }
            return request.build();
        }

        private Response send(Request request) throws IOException {
            okhttp3.Call okHttpCall = client.newCall(request);
            okHttpCall.timeout().timeout(Math.max(1, remainingMillis()) + RESPONSE_GRACE_MILLIS, TimeUnit.MILLISECONDS);
            return okHttpCall.execute();
        }

        private Optional<String> fetchTicket(String entryUrl) {
            Request request = new Request.Builder()
                    .url(entryUrl + "/tickets?count=1")
                    .post(RequestBody.EMPTY)
                    .build();
            try (Response response = send(request)) {
                String firstTicket = JSON.readTree(response.body().string())
                        .path("tickets")
                        .path(0)
                        .asText("");
                return Optional.of(firstTicket).filter(text -> !text.isEmpty());
            } catch (IOException e) {
                refusedConnections++;
                return Optional.empty();
            }
        }

        /** Records the response; returns whether the call is finished, so that no retry follows. */
        private boolean handleResponse(Response response) throws IOException {
            status = response.code();
            requestId = response.header(Headers.REQUEST_ID, "");
            code = ResultCode.ofNumber(Integer.parseInt(response.header(Headers.CODE, "0")))
                    .orElse(null);
            if (code == null) {
                mayHaveRun = true;
                content = Content.FOREIGN;
                return true;
            }
            return switch (code.outcome()) {
                case ANSWERED -> {
                    mayHaveRun = true;
                    content = checkContent(response);
                    yield true;
                }
                case NOT_RUN -> !RETRYABLE_ELSEWHERE.contains(code);
                default -> {
                    mayHaveRun = true;
                    yield part.atMostOnce();
                }
            };
        }

        private Content checkContent(Response response) throws IOException {
            if (code == ResultCode.ANSWER_NOT_KEPT) {
                return Content.ERROR_STATUS;
            }
            return new ContentCheck(part, path, uri, ticket, body).check(response);
        }

        private void recordFailure(IOException failure) {
            boolean notConnected = failure instanceof java.net.ConnectException
                    || String.valueOf(failure.getMessage()).startsWith("failed to connect");
            if (notConnected) {
                refusedConnections++;
            } else {
                cutAttempts++;
                mayHaveRun = true;
            }
        }
    }
}

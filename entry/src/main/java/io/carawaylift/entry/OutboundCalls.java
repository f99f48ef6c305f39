package io.carawaylift.entry;

import io.carawaylift.entry.AttemptResult.Answered;
import io.carawaylift.model.ResultCode;
import io.netty.util.HashedWheelTimer;
import io.netty.util.Timeout;
import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import okio.ByteString;

/**
 * Sends requests with OkHttp, each at most once. A call occupies a thread while it is in flight. The number of threads
 * is bounded; a call beyond it is refused rather than queued, because the admission queues would not see it wait.
 * Thread-safe.
 */
final class OutboundCalls {
    /** Bodies up to this length are buffered before the receiver is called. */
    static final int MAX_BUFFERED_BODY_BYTES = 256 * 1024;

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_IDLE_CONNECTIONS = 4096;
    private static final long KEEP_ALIVE_SECONDS = 30;
    private static final long THREAD_IDLE_SECONDS = 30;

    private final LongSupplier clock;
    private final HashedWheelTimer timer;
    private final ThreadPoolExecutor threads;
    private final OkHttpClient pooled;
    private final OkHttpClient unpooled;

    OutboundCalls(int maxCalls, LongSupplier clock, HashedWheelTimer timer, EntryMetrics metrics) {
        this.clock = clock;
        this.timer = timer;
        AtomicInteger threadCount = new AtomicInteger();
        threads = new ThreadPoolExecutor(
                0, maxCalls, THREAD_IDLE_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>(), task -> {
                    Thread thread = new Thread(task, "call-" + threadCount.incrementAndGet());
                    thread.setDaemon(true);
                    thread.setUncaughtExceptionHandler(
                            (failedThread, fault) -> metrics.countViolation(failedThread.getName(), fault));
                    return thread;
                });
        pooled = new OkHttpClient.Builder()
                .proxy(Proxy.NO_PROXY)
                .protocols(List.of(Protocol.HTTP_1_1))
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .followSslRedirects(false)
                .connectTimeout(CONNECT_TIMEOUT)
                .readTimeout(Duration.ZERO)
                .writeTimeout(Duration.ZERO)
                .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
                .addNetworkInterceptor(new SingleSendInterceptor(clock))
                .build();
        unpooled = pooled.newBuilder()
                .connectionPool(new ConnectionPool(0, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
                .build();
    }

    /** Sends a request; {@code receiver} is called on the call's thread, or on this one if the call cannot start. */
    OutboundCall start(OutboundRequest request, ResultReceiver receiver) {
        CallProgress progress = new CallProgress(request);
        Call call;
        try {
            call = (request.newConnection() ? unpooled : pooled).newCall(toOkHttp(request, progress));
        } catch (IllegalArgumentException e) {
            receiver.accept(AttemptResult.Refused.of(ResultCode.BAD_REQUEST, String.valueOf(e.getMessage())));
            return OutboundCall.ENDED;
        }
        try {
            threads.execute(() -> run(call, progress, receiver));
        } catch (RejectedExecutionException e) {
            receiver.accept(AttemptResult.Refused.of(ResultCode.QUEUE_FULL, "all call threads are in use"));
            return OutboundCall.ENDED;
        }
        return () -> {
            progress.markCancelled();
            call.cancel();
        };
    }

    /** Closes idle connections and threads. */
    void stop() {
        threads.shutdown();
        pooled.connectionPool().evictAll();
        unpooled.connectionPool().evictAll();
    }

    private void run(Call call, CallProgress progress, ResultReceiver receiver) {
        long remainingNanos = Math.max(1, progress.request().deadlineNanos() - clock.getAsLong());
        Timeout deadline = timer.newTimeout(
                timeout -> {
                    progress.markTimedOut();
                    call.cancel();
                },
                remainingNanos,
                TimeUnit.NANOSECONDS);
        AttemptResult failure;
        try (Response response = call.execute()) {
            Answered answered = read(response, progress);
            if (answered.remainingBody().isEmpty()) {
                deadline.cancel();
            }
            receiver.accept(answered);
            return;
        } catch (IOException e) {
            failure = progress.failure(e);
            if (failure instanceof AttemptResult.Unknown && progress.status() == 0) {
                // The failure that made this connection unresponsive may affect the idle connections too.
                pooled.connectionPool().evictAll();
            }
        } finally {
            deadline.cancel();
        }
        receiver.accept(failure);
    }

    private static Answered read(Response response, CallProgress progress) throws IOException {
        HeaderList headers = headersOf(response);
        requireFramedBody(response, progress, headers);
        BufferedSource source = response.body().source();
        boolean exceedsBuffer = source.request(MAX_BUFFERED_BODY_BYTES + 1L);
        ByteString bufferedBody =
                exceedsBuffer ? source.readByteString(MAX_BUFFERED_BODY_BYTES) : source.readByteString();
        Optional<BodySource> remainingBody = exceedsBuffer ? Optional.of(source::read) : Optional.empty();
        long length = headers.first("Content-Length").map(OutboundCalls::length).orElse(-1L);
        return new Answered(ResultCode.ANSWERED, progress.status(), headers, length, bufferedBody, remainingBody, "");
    }

    /**
     * Rejects a body that is delimited only by the end of its connection, because a body truncated by the end of the
     * upstream's process looks the same.
     */
    private static void requireFramedBody(Response response, CallProgress progress, HeaderList headers)
            throws IOException {
        boolean noBody =
                response.request().method().equals("HEAD") || progress.status() == 204 || progress.status() == 304;
        boolean framed = headers.first("Content-Length").isPresent()
                || headers.first("Transfer-Encoding")
                        .map("chunked"::equalsIgnoreCase)
                        .orElse(false);
        if (!noBody && !framed) {
            throw new IOException("the answer has neither a length nor chunks, so its end cannot be verified");
        }
    }

    private static long length(String text) {
        try {
            return Long.parseLong(text.strip());
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static HeaderList headersOf(Response response) {
        List<HeaderField> fields = new ArrayList<>();
        response.headers().forEach(pair -> fields.add(new HeaderField(pair.getFirst(), pair.getSecond())));
        return new HeaderList(fields);
    }

    private static Request toOkHttp(OutboundRequest request, CallProgress progress) {
        okhttp3.Headers.Builder headers = new okhttp3.Headers.Builder();
        for (HeaderField field : request.headers().fields()) {
            headers.addUnsafeNonAscii(field.name(), field.value());
        }
        if (request.headers().first("Accept-Encoding").isEmpty()) {
            // Without this header OkHttp requests gzip and decompresses, which changes length and validators.
            headers.add("Accept-Encoding", "identity");
        }
        if (request.newConnection()) {
            headers.set("Connection", "close");
        }
        boolean bodyless = request.method().equals("GET") || request.method().equals("HEAD");
        RequestBody body = bodyless ? null : RequestBody.create(request.body(), null);
        return new Request.Builder()
                .url(request.url())
                .headers(headers.build())
                .method(request.method(), body)
                .tag(CallProgress.class, progress)
                .build();
    }
}

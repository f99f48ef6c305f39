package io.carawaylift.entry;

import io.carawaylift.model.Headers;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Runs the pre-send check when the connection is ready, and hides the status from OkHttp's follow-up logic: OkHttp
 * retries on 503 with {@code Retry-After: 0} whatever its options are, and follows up on 3xx, 401, 407, 408 and 421.
 */
final class SingleSendInterceptor implements Interceptor {
    private static final int NEUTRAL_STATUS = 200;

    private final LongSupplier clock;

    SingleSendInterceptor(LongSupplier clock) {
        this.clock = clock;
    }

    @Override
    public Response intercept(Chain chain) throws IOException {
        Request request = chain.request();
        CallProgress progress = request.tag(CallProgress.class);
        long now = clock.getAsLong();
        if (!progress.checkBeforeSend(now)) {
            throw new IOException("the pre-send check refused the request");
        }
        Response response = chain.proceed(withDeadline(request, progress.request(), now));
        progress.statusReceived(response.code());
        return response.newBuilder().code(NEUTRAL_STATUS).build();
    }

    private static Request withDeadline(Request request, OutboundRequest outbound, long now) {
        long remainingNanos = outbound.deadlineNanos() - now;
        long announcedNanos = remainingNanos - Math.min(outbound.marginNanos(), remainingNanos / 4);
        long announcedMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(announcedNanos));
        return request.newBuilder()
                .header(Headers.DEADLINE_MS, Long.toString(announcedMillis))
                .build();
    }
}

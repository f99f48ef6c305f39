package io.carawaylift.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.carawaylift.entry.AttemptResult.Refused;
import io.carawaylift.model.Headers;
import io.carawaylift.model.ResultCode;
import java.util.ArrayList;
import java.util.List;
import okio.ByteString;

/**
 * Writes the responses that carawaylift generates itself: JSON with code, meaning and detail, also sent as headers.
 */
final class OwnResponses {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_DETAIL_LENGTH = 300;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int SERVICE_UNAVAILABLE = 503;

    private OwnResponses() {}

    /** JSON body of a generated response. */
    record Body(int code, String meaning, String detail, String requestId) {}

    static void send(CallerResponse response, String requestId, AttemptResult result) {
        ResultCode code = result.code();
        List<HeaderField> fields = new ArrayList<>();
        fields.add(new HeaderField("Content-Type", "application/json"));
        fields.add(new HeaderField(Headers.CODE, Integer.toString(code.number())));
        fields.add(new HeaderField(Headers.REQUEST_ID, requestId));
        if (!result.detail().isEmpty()) {
            fields.add(new HeaderField(Headers.DETAIL, toHeaderValue(result.detail())));
        }
        if (result instanceof Refused refused && code.httpStatus() == SERVICE_UNAVAILABLE) {
            fields.add(new HeaderField("Retry-After", Long.toString(toRetryAfterSeconds(refused.retryAfterMs()))));
        }
        ByteString body = json(new Body(code.number(), code.meaning(), result.detail(), requestId));
        response.send(code.httpStatus(), new HeaderList(fields), body, -1);
    }

    /**
     * Encodes a value as JSON.
     *
     * @throws IllegalArgumentException if the value cannot be encoded
     */
    static ByteString json(Object value) {
        try {
            return ByteString.encodeUtf8(MAPPER.writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "cannot write a " + value.getClass().getName() + " as JSON", e);
        }
    }

    /** Rounds up to at least one second, because a client may take 0 as a request to retry immediately. */
    private static long toRetryAfterSeconds(long millis) {
        return Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }

    private static String toHeaderValue(String detail) {
        String printable = detail.replaceAll("[^ -~]", "?");
        return printable.length() <= MAX_DETAIL_LENGTH ? printable : printable.substring(0, MAX_DETAIL_LENGTH);
    }
}

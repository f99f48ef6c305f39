package io.carawaylift.testing.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.carawaylift.testing.http.PatternContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Response body: a line of JSON that describes the received request, followed by content computed from that line.
 * {@link #parse} rejects a body that is truncated or altered, or whose content belongs to another line.
 *
 * @param uri path and query of the request
 * @param requestId id of the request, empty if it had none
 * @param ticket ticket of the request, empty if it had none
 * @param received checksum of the request body
 * @param endpoint id of the endpoint
 * @param run how many times this process has run requests of the same kind and path, this one included
 * @param contentBytes length of the content after the line, in bytes
 */
public record EchoResponseBody(
        String uri, String requestId, String ticket, String received, String endpoint, int run, int contentBytes) {
    private static final ObjectMapper JSON = new ObjectMapper();

    byte[] encode() {
        try {
            String line = JSON.writeValueAsString(this) + "\n";
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(line.getBytes(StandardCharsets.UTF_8));
            out.write(new PatternContent(line).bytes(0, contentBytes));
            return out.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the description in the first line, or empty if the body is truncated or altered. */
    public static Optional<EchoResponseBody> parse(byte[] body) {
        int end = 0;
        while (end < body.length && body[end] != '\n') {
            end++;
        }
        if (end == body.length) {
            return Optional.empty();
        }
        String line = new String(body, 0, end + 1, StandardCharsets.UTF_8);
        try {
            EchoResponseBody response = JSON.readValue(line, EchoResponseBody.class);
            byte[] content = new PatternContent(line).bytes(0, response.contentBytes());
            boolean complete = body.length == end + 1 + content.length
                    && java.util.Arrays.equals(body, end + 1, body.length, content, 0, content.length);
            return complete ? Optional.of(response) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    /** Returns the endpoint id in the first line, or empty if the line is invalid; does not check the content. */
    public static Optional<String> endpointOf(byte[] body) {
        String line =
                new String(body, StandardCharsets.UTF_8).lines().findFirst().orElse("");
        try {
            return Optional.of(JSON.readValue(line, EchoResponseBody.class).endpoint());
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}

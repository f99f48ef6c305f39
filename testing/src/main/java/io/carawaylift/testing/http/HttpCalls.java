package io.carawaylift.testing.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Blocking HTTP client for control interfaces and statistics. Thread-safe. */
public final class HttpCalls {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final OkHttpClient client;

    /** Creates a client; a call that takes longer than {@code timeoutMs} fails. */
    public HttpCalls(long timeoutMs) {
        client = new OkHttpClient.Builder()
                .callTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .readTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .retryOnConnectionFailure(false)
                .build();
    }

    /** A complete response. */
    public record TextResponse(int status, String text, Map<String, String> headers) {
        /** Returns a header; {@code name} must be in lower case. */
        public Optional<String> header(String name) {
            return Optional.ofNullable(headers.get(name));
        }

        /** Returns the body as JSON; throws {@link UncheckedIOException} if it is not JSON. */
        public JsonNode json() {
            try {
                return JSON.readTree(text);
            } catch (IOException e) {
                throw new UncheckedIOException("response is not JSON: " + text, e);
            }
        }
    }

    /** Sends a GET request. */
    public TextResponse get(String url) {
        return send(new Request.Builder().url(url));
    }

    /** Sends a POST request without a body. */
    public TextResponse post(String url) {
        return send(new Request.Builder().url(url).post(RequestBody.EMPTY));
    }

    /** Sends a PUT request with one header. */
    public TextResponse put(String url, byte[] body, String headerName, String headerValue) {
        return send(
                new Request.Builder().url(url).header(headerName, headerValue).put(RequestBody.create(body)));
    }

    /**
     * Sends a request.
     *
     * @throws UncheckedIOException if no complete response arrives within the timeout
     */
    public TextResponse send(Request.Builder request) {
        Request built = request.build();
        try (Response response = client.newCall(built).execute()) {
            Map<String, String> headers = new java.util.TreeMap<>();
            response.headers()
                    .forEach(pair -> headers.put(pair.getFirst().toLowerCase(java.util.Locale.ROOT), pair.getSecond()));
            return new TextResponse(response.code(), response.body().string(), headers);
        } catch (IOException e) {
            throw new UncheckedIOException(built.method() + " " + built.url() + ": " + e.getMessage(), e);
        }
    }
}

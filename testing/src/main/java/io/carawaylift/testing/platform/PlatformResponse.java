package io.carawaylift.testing.platform;

import io.carawaylift.testing.http.HttpExchange;
import java.util.Map;

/** A response that can be sent immediately or later. */
interface PlatformResponse {
    /** Marks a response that the caller never receives; sending it throws {@link IllegalStateException}. */
    PlatformResponse LOST = call -> {
        throw new IllegalStateException("a lost response must not be sent");
    };

    void send(HttpExchange call);

    static PlatformResponse text(int status, String text) {
        return call -> call.respondText(status, text);
    }

    static PlatformResponse json(Object value) {
        return call -> call.respondJson(value);
    }

    static PlatformResponse object(byte[] value, long version) {
        return call ->
                call.respond(200, Map.of("ETag", "\"" + version + "\"", "Content-Type", "application/json"), value);
    }
}

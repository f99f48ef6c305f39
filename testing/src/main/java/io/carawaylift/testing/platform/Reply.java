package io.carawaylift.testing.platform;

import io.carawaylift.testing.http.HttpExchange;
import java.util.Map;

/** An answer that is ready to be sent, now or later. */
interface Reply {
    /** Stands for an answer that the caller never gets. */
    Reply LOST = call -> {
        throw new IllegalStateException("a lost answer is not sent");
    };

    void send(HttpExchange call);

    static Reply text(int status, String text) {
        return call -> call.respondText(status, text);
    }

    static Reply json(Object value) {
        return call -> call.respondJson(value);
    }

    static Reply object(byte[] value, long version) {
        return call ->
                call.respond(200, Map.of("ETag", "\"" + version + "\"", "Content-Type", "application/json"), value);
    }
}

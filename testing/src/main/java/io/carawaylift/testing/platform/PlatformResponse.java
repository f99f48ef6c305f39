package io.carawaylift.testing.platform;

import io.carawaylift.testing.http.Exchange;
import java.util.Map;

/** An answer that is ready to be sent, now or later. */
interface PlatformResponse {
    /** Stands for an answer that the caller never gets. */
    PlatformResponse LOST = call -> {
        throw new IllegalStateException("a lost answer is not sent");
    };

    void send(Exchange call);

    static PlatformResponse text(int status, String text) {
        return call -> call.answerText(status, text);
    }

    static PlatformResponse json(Object value) {
        return call -> call.answerJson(value);
    }

    static PlatformResponse object(byte[] value, long version) {
        return call ->
                call.answer(200, Map.of("ETag", "\"" + version + "\"", "Content-Type", "application/json"), value);
    }
}

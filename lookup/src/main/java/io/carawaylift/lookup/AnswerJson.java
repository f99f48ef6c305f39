package io.carawaylift.lookup;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.carawaylift.model.CarawayliftException;

/** Writes answers as JSON. */
final class AnswerJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private AnswerJson() {}

    /** A refusal as JSON: result code and message. */
    private record Failure(int code, String message) {}

    static String of(LookupAnswer answer) {
        return write(answer);
    }

    static String of(CarawayliftException failure) {
        return write(new Failure(failure.code().number(), failure.getMessage()));
    }

    private static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot write " + value + " as JSON", e);
        }
    }
}

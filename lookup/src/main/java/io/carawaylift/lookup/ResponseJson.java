package io.carawaylift.lookup;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.carawaylift.model.CarawayliftException;

/** Serializes responses as JSON. */
final class ResponseJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ResponseJson() {}

    /** JSON body of a refused lookup. */
    private record Failure(int code, String message) {}

    static String of(LookupResponse response) {
        return toJson(response);
    }

    static String of(CarawayliftException failure) {
        return toJson(new Failure(failure.code().number(), failure.getMessage()));
    }

    private static String toJson(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot write " + value + " as JSON", e);
        }
    }
}

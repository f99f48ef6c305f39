package io.carawaylift.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Serializes results as JSON. */
final class JsonText {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonText() {}

    /**
     * Returns the value as JSON on one line.
     *
     * @throws IllegalArgumentException if the value cannot be serialized
     */
    static String line(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot write " + value + " as JSON", e);
        }
    }
}

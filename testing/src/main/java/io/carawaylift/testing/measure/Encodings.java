package io.carawaylift.testing.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Encodes and decodes MessagePack as the processes exchange it; records are written as maps. */
final class Encodings {
    private static final ObjectMapper MESSAGE_PACK = new MessagePackMapper();

    private Encodings() {}

    static byte[] messagePack(Object value) {
        try {
            return MESSAGE_PACK.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "cannot encode a " + value.getClass().getName(), e);
        }
    }

    static <T> T decode(byte[] bytes, Class<T> type) {
        try {
            return MESSAGE_PACK.readValue(bytes, type);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot decode a " + type.getName(), e);
        }
    }
}

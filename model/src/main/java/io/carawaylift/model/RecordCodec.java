package io.carawaylift.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.DefaultIndenter;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Converts records to and from the JSON that the platform keeps. Each array element stands on a line of its own, so that
 * a change of one row changes one line and can be sent as a line delta. Thread-safe.
 */
public final class RecordCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .defaultPropertyInclusion(
                    JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.ALWAYS))
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final ObjectWriter WRITER = MAPPER.writer(new LinePerElementPrinter());

    private RecordCodec() {}

    /** Returns the JSON of a record of this package. */
    public static RecordBytes encode(Object record) {
        try {
            return RecordBytes.of(WRITER.writeValueAsString(record));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "cannot write a " + record.getClass().getName() + " as JSON", e);
        }
    }

    /**
     * Reads a record. Unknown fields are ignored, so that newer writers can add some.
     *
     * @throws IllegalArgumentException if the bytes are not JSON of this type
     */
    public static <T> T decode(RecordBytes json, Class<T> type) {
        try {
            return MAPPER.readValue(json.text(), type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot read a " + type.getName() + " from JSON", e);
        }
    }

    /** Puts every array element on a line of its own and keeps objects on one line. */
    private static final class LinePerElementPrinter extends DefaultPrettyPrinter {
        private static final long serialVersionUID = 1L;

        LinePerElementPrinter() {
            indentArraysWith(new DefaultIndenter("", "\n"));
            indentObjectsWith(new NopIndenter());
        }

        private LinePerElementPrinter(LinePerElementPrinter base) {
            super(base);
        }

        @Override
        public DefaultPrettyPrinter createInstance() {
            return new LinePerElementPrinter(this);
        }
    }
}

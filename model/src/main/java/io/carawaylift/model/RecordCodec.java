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
 * Converts records to and from the JSON that the platform stores. Each array element is on its own line, so that a
 * change of one row changes one line and can be sent as a line delta. Thread-safe.
 */
public final class RecordCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .defaultPropertyInclusion(
                    JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.ALWAYS))
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final ObjectWriter WRITER = MAPPER.writer(new LinePerElementPrinter());

    private RecordCodec() {}

    /**
     * Returns the JSON of a record of this package. Null components are left out.
     *
     * @throws IllegalArgumentException if the record cannot be written as JSON
     */
    public static RecordBytes encode(Object record) {
        try {
            return RecordBytes.of(WRITER.writeValueAsString(record));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "cannot write a " + record.getClass().getName() + " as JSON", e);
        }
    }

    /**
     * Parses a record. Unknown fields are ignored, so that newer versions can add fields.
     *
     * @throws IllegalArgumentException if the bytes are not the JSON of a record of this type
     */
    public static <T> T decode(RecordBytes json, Class<T> type) {
        try {
            return MAPPER.readValue(json.text(), type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot read a " + type.getName() + " from JSON", e);
        }
    }

    /** Writes each array element on its own line, and each object on one line unless it contains an array. */
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

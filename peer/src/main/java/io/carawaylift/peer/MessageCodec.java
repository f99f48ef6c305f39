package io.carawaylift.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.ResultCode;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessagePackException;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes a message as one byte for its type followed by a MessagePack array of its fields. Thread-safe. */
final class MessageCodec {
    private static final ObjectMapper MAPPER = mapper();

    private MessageCodec() {}

    static byte[] encode(Message message) {
        try {
            byte[] fields = MAPPER.writeValueAsBytes(message);
            byte[] frame = new byte[fields.length + 1];
            frame[0] = (byte) MessageType.of(message).number();
            System.arraycopy(fields, 0, frame, 1, fields.length);
            return frame;
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot encode message of " + message.getClass(), e);
        }
    }

    /**
     * Decodes a message; returns empty if its type is unknown.
     *
     * @throws CarawayliftException with {@link ResultCode#NETWORK_FAILED} if the frame is empty or malformed
     */
    static Optional<Message> decode(byte[] frame) {
        if (frame.length == 0) {
            throw new CarawayliftException(ResultCode.NETWORK_FAILED, "empty frame");
        }
        MessageType type = MessageType.ofNumber(frame[0]);
        if (type == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(MAPPER.readValue(frame, 1, frame.length - 1, type.messageClass()));
        } catch (IOException | MessagePackException e) {
            throw new CarawayliftException(ResultCode.NETWORK_FAILED, "malformed message of type " + type, e);
        }
    }

    private static ObjectMapper mapper() {
        SimpleModule module = new SimpleModule("records");
        module.addSerializer(RecordBytes.class, new RecordBytesSerializer());
        module.addDeserializer(RecordBytes.class, new RecordBytesDeserializer());
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        mapper.setAnnotationIntrospector(new JsonArrayFormat());
        mapper.disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        return mapper.registerModule(module);
    }

    private static final class RecordBytesSerializer extends JsonSerializer<RecordBytes> {
        @Override
        public void serialize(RecordBytes value, JsonGenerator generator, SerializerProvider provider)
                throws IOException {
            generator.writeBinary(value.toArray());
        }
    }

    private static final class RecordBytesDeserializer extends JsonDeserializer<RecordBytes> {
        @Override
        public RecordBytes deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return RecordBytes.copyOf(parser.getBinaryValue());
        }
    }
}

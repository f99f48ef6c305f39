package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads messages of HTTP/1.1. */
final class Wire {
    private Wire() {}

    /** Reads a message; returns null if the connection ends before its first byte. */
    static Request read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); ; line = line(in)) {
            if (line == null) {
                throw new EOFException("the connection ended in a head");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended after " + body.length + " of " + length + " bytes");
        }
        return new Request(start, headers, body);
    }

    /** Reads a line; one character for each byte. */
    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (bytes.size() > 0) {
                    throw new EOFException("the connection ended in a line");
                }
                return null;
            }
            if (next != '\r') {
                bytes.write(next);
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }
}

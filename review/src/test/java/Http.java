import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads and writes HTTP/1.1 messages with a length, and finds values in small JSON texts. */
final class Http {
    private Http() {}

    /** A request or a response; the first line's words are {@code method}, {@code target} and the rest. */
    record Message(String method, String target, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(target);
        }
    }

    /** Returns the next message, or null if the connection ended before its first byte. */
    static Message read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        String[] words = line.split(" ", 3);
        Map<String, String> headers = new HashMap<>();
        for (String header = line(in); ; header = line(in)) {
            if (header == null) {
                throw new IOException("the connection ended within a head");
            }
            if (header.isEmpty()) {
                break;
            }
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the connection ended within a body");
        }
        return new Message(words[0], words[1], headers, body);
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write((head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        out.write(bytes.toByteArray());
        out.flush();
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new IOException("the connection ended within a line");
            }
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    static Map<String, String> query(String text) {
        Map<String, String> values = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                values.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    static String jsonString(String json, String name) {
        return find(json, "\"" + name + "\":\\s*\"([^\"]*)\"");
    }

    static String jsonNumber(String json, String name) {
        return find(json, "\"" + name + "\":\\s*([0-9]+)");
    }

    static String jsonObject(String json, String name) {
        int start = json.indexOf('{', json.indexOf("\"" + name + "\""));
        int depth = 0;
        for (int i = start; i < json.length(); i++) {
            depth += json.charAt(i) == '{' ? 1 : json.charAt(i) == '}' ? -1 : 0;
            if (depth == 0) {
                return json.substring(start, i + 1);
            }
        }
        throw new IllegalArgumentException("no object " + name);
    }

    private static String find(String json, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(json);
        return matcher.find() ? matcher.group(1) : null;
    }
}

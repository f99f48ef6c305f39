package review2;

import java.util.Map;

/** A message as it was read: the first line, the header fields with names in lower case, and the body. */
record Request(String startLine, Map<String, String> headers, byte[] body) {
    String method() {
        return startLine.split(" ", 3)[0];
    }

    String target() {
        return startLine.split(" ", 3)[1];
    }

    int status() {
        return Integer.parseInt(startLine.split(" ", 3)[1]);
    }

    String header(String name) {
        return headers.getOrDefault(name, "");
    }
}

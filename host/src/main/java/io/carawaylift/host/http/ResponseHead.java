package io.carawaylift.host.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;

/** Checks of the head of a response that its syntax alone does not show. */
public final class ResponseHead {
    private static final Pattern STATUS_LINE_START = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}");

    /** Idle timeout assumed if the peer does not send one. */
    private static final int DEFAULT_IDLE_TIMEOUT_SECONDS = 5;

    private ResponseHead() {}

    /**
     * Returns whether a head contains the start of another one: part of a response to an earlier request, for example,
     * that the endpoint continued with the next response.
     *
     * @param idHeader name of the header with the request id, which a response contains once
     */
    public static boolean isMerged(HttpResponse response, String idHeader) {
        if (response.headers().getAll(idHeader).size() > 1
                || STATUS_LINE_START.matcher(response.status().reasonPhrase()).find()) {
            return true;
        }
        for (Iterator<Map.Entry<CharSequence, CharSequence>> headers =
                        response.headers().iteratorCharSequence();
                headers.hasNext(); ) {
            if (STATUS_LINE_START.matcher(headers.next().getValue()).find()) {
                return true;
            }
        }
        return false;
    }

    /** Parses the peer's idle timeout in seconds from a header such as {@code Keep-Alive: timeout=5}. */
    public static int idleTimeoutSeconds(HttpResponse response) {
        String value = response.headers().get("Keep-Alive");
        int at = value == null ? -1 : value.indexOf("timeout=");
        if (at < 0) {
            return DEFAULT_IDLE_TIMEOUT_SECONDS;
        }
        int end = at + "timeout=".length();
        int seconds = 0;
        while (end < value.length() && Character.isDigit(value.charAt(end)) && seconds < Short.MAX_VALUE) {
            seconds = seconds * 10 + Character.digit(value.charAt(end), 10);
            end++;
        }
        return seconds;
    }
}

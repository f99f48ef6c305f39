package io.carawaylift.entry;

import io.carawaylift.model.Headers;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** HTTP headers in the order received; names compare without case. Immutable. */
record HeaderList(List<HeaderField> fields) {
    static final HeaderList EMPTY = new HeaderList(List.of());

    /** Headers that belong to one connection (RFC 9110, section 7.6.1) or that the sender sets itself. */
    private static final Set<String> PER_CONNECTION = Set.of(
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private static final String OWN_PREFIX = "carawaylift-";

    HeaderList {
        fields = List.copyOf(fields);
    }

    /** Returns the first value of a header. */
    Optional<String> first(String name) {
        for (HeaderField field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                return Optional.of(field.value());
            }
        }
        return Optional.empty();
    }

    /** Returns the headers that are passed on: without those of the connection and without our own. */
    HeaderList endToEnd() {
        Set<String> named = connectionOptions();
        List<HeaderField> kept = new ArrayList<>();
        for (HeaderField field : fields) {
            String name = field.name().toLowerCase(Locale.ROOT);
            if (!PER_CONNECTION.contains(name) && !named.contains(name) && !name.startsWith(OWN_PREFIX)) {
                kept.add(field);
            }
        }
        return new HeaderList(kept);
    }

    /** Returns these headers with one replaced or added. */
    HeaderList with(String name, String value) {
        List<HeaderField> changed = new ArrayList<>(without(name).fields);
        changed.add(new HeaderField(name, value));
        return new HeaderList(changed);
    }

    /** Returns these headers without one. */
    HeaderList without(String name) {
        return new HeaderList(fields.stream()
                .filter(field -> !field.name().equalsIgnoreCase(name))
                .toList());
    }

    /** Returns the bytes that the header lines take on the wire. */
    int wireBytes() {
        int bytes = 0;
        for (HeaderField field : fields) {
            bytes += field.name().length() + field.value().length() + ": \r\n".length();
        }
        return bytes;
    }

    /** Returns the headers that a Connection header declares to be of one hop only. */
    private Set<String> connectionOptions() {
        Optional<String> options = first("Connection");
        if (options.isEmpty()) {
            return Set.of();
        }
        List<String> names = new ArrayList<>();
        for (String option : options.get().split(",", -1)) {
            names.add(option.strip().toLowerCase(Locale.ROOT));
        }
        return Set.copyOf(names);
    }

    /** Returns whether an upstream says that it refused the request, see {@link Headers#NOT_RUN}. */
    boolean saysNotRun() {
        return first(Headers.NOT_RUN).map("true"::equalsIgnoreCase).orElse(false);
    }
}

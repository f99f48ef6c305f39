package io.carawaylift.entry;

import io.carawaylift.model.Headers;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** HTTP headers in the order received. Names are case-insensitive. Immutable. */
record HeaderList(List<HeaderField> fields) {
    static final HeaderList EMPTY = new HeaderList(List.of());

    /** Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the sender sets itself. */
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

    /** Returns the headers to forward: without hop-by-hop headers and without those of carawaylift. */
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

    /** Returns a copy with one header replaced or added. */
    HeaderList with(String name, String value) {
        List<HeaderField> changed = new ArrayList<>(without(name).fields);
        changed.add(new HeaderField(name, value));
        return new HeaderList(changed);
    }

    /** Returns a copy without one header. */
    HeaderList without(String name) {
        return new HeaderList(fields.stream()
                .filter(field -> !field.name().equalsIgnoreCase(name))
                .toList());
    }

    /** Returns the size of the header lines on the wire in bytes. */
    int wireBytes() {
        int bytes = 0;
        for (HeaderField field : fields) {
            bytes += field.name().length() + field.value().length() + ": \r\n".length();
        }
        return bytes;
    }

    /** Returns the lower-case names of the headers that the Connection header declares as hop-by-hop. */
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

    /** Returns whether the upstream declares that it did not run the request, see {@link Headers#NOT_RUN}. */
    boolean saysNotRun() {
        return first(Headers.NOT_RUN).map("true"::equalsIgnoreCase).orElse(false);
    }
}

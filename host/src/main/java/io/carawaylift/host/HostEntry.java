package io.carawaylift.host;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.carawaylift.platform.store.StoreItem;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Entry that a host writes to the store, so that the others find it. Immutable.
 *
 * @param address {@code host:port} for the other hosts
 * @param revision revision of the entry in the store
 */
record HostEntry(String address, String region, long revision) {
    private static final Pattern ADDRESS = Pattern.compile("[^:\\s]+:([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;

    /** Returns the entry, or empty if its address or region is missing or malformed. */
    static Optional<HostEntry> decode(StoreItem item) {
        JsonNode address = item.value().path("address");
        JsonNode region = item.value().path("region");
        if (!address.isTextual() || !region.isTextual() || !isAddress(address.textValue())) {
            return Optional.empty();
        }
        return Optional.of(new HostEntry(address.textValue(), region.textValue(), item.revision()));
    }

    /** Returns the value to store. */
    static ObjectNode encode(String address, String region) {
        return JsonNodeFactory.instance.objectNode().put("address", address).put("region", region);
    }

    private static boolean isAddress(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        return matcher.matches() && Integer.parseInt(matcher.group(1)) <= MAX_PORT;
    }
}

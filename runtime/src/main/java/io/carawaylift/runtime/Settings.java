package io.carawaylift.runtime;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Typed access to a TOML settings file. Keys are dotted paths such as {@code host.id}. Each accessor throws
 * {@link SettingsException} if the value is invalid, and unless stated otherwise if the key is missing. Immutable.
 */
public final class Settings {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final Pattern ADDRESS = Pattern.compile("[^:\\s]+:[0-9]{1,5}");
    private static final int MAX_PORT = 65_535;

    private final String file;
    private final String source;
    private final JsonNode root;

    private Settings(String file, String source, JsonNode root) {
        this.file = file;
        this.source = source;
        this.root = root;
    }

    /**
     * Reads and parses a settings file.
     *
     * @throws SettingsException if the file cannot be read or is not TOML
     */
    public static Settings read(Path path) {
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw new SettingsException(path.toString(), "(file)", String.valueOf(e.getMessage()), "must be readable");
        }
    }

    /**
     * Parses the text of a settings file.
     *
     * @param file path of the file, for {@link #path} and error messages
     * @throws SettingsException if the text is not TOML
     */
    public static Settings parse(String file, String toml) {
        try {
            return new Settings(file, toml, new TomlMapper().readTree(toml));
        } catch (JsonProcessingException e) {
            throw new SettingsException(file, "(syntax)", e.getOriginalMessage(), "must be valid TOML");
        }
    }

    /** Returns the path of the file as passed by the caller. */
    public Path path() {
        return Path.of(file);
    }

    /** Returns the text of the file. */
    public String source() {
        return source;
    }

    /** Returns a name of at most 63 lower-case letters, digits and hyphens that does not start with a hyphen. */
    public String name(String key) {
        return requireMatch(key, text(key), NAME);
    }

    /** Returns a name, or {@code defaultValue} if the key is missing. */
    public String name(String key, String defaultValue) {
        return has(key) ? name(key) : defaultValue;
    }

    /** Returns a non-empty string. */
    public String text(String key) {
        JsonNode value = node(key);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw invalid(key, "must be a non-empty string");
        }
        return value.textValue();
    }

    /** Returns a port number, 0 for any free port. */
    public int port(String key) {
        return (int) integerInRange(key, 0, MAX_PORT);
    }

    /** Returns an HTTP base URL without a trailing slash. */
    public String url(String key) {
        String text = text(key);
        URI uri = parseUri(key, text);
        if (!"http".equals(uri.getScheme()) || uri.getHost() == null || text.endsWith("/")) {
            throw invalid(key, "must be a URL such as http://127.0.0.1:8080, without a trailing slash");
        }
        return text;
    }

    /** Returns a list of {@code host:port} addresses; empty if the key is missing. */
    public List<String> addresses(String key) {
        List<String> addresses = new ArrayList<>();
        for (JsonNode element : node(key)) {
            addresses.add(requireMatch(key, element.asText(), ADDRESS));
        }
        return addresses;
    }

    /**
     * Returns a duration within bounds, written in whole milliseconds, or {@code defaultValue} if the key is missing.
     */
    public Duration millis(String key, Duration defaultValue, Duration min, Duration max) {
        return has(key) ? Duration.ofMillis(integerInRange(key, min.toMillis(), max.toMillis())) : defaultValue;
    }

    /** Returns a whole number within bounds, or {@code defaultValue} if the key is missing. */
    public int integer(String key, int defaultValue, int min, int max) {
        return has(key) ? (int) integerInRange(key, min, max) : defaultValue;
    }

    /** Returns a number within bounds, or {@code defaultValue} if the key is missing. */
    public double decimal(String key, double defaultValue, double min, double max) {
        if (!has(key)) {
            return defaultValue;
        }
        JsonNode value = node(key);
        if (!value.isNumber() || value.doubleValue() < min || value.doubleValue() > max) {
            throw invalid(key, "must be a number from " + min + " to " + max);
        }
        return value.doubleValue();
    }

    /** Returns true or false, or {@code defaultValue} if the key is missing. */
    public boolean flag(String key, boolean defaultValue) {
        if (!has(key)) {
            return defaultValue;
        }
        if (!node(key).isBoolean()) {
            throw invalid(key, "must be true or false");
        }
        return node(key).booleanValue();
    }

    /** Returns an address {@code host:port}. */
    public String address(String key) {
        return requireMatch(key, text(key), ADDRESS);
    }

    /** Returns the strings of a section by key; empty if the section is missing. */
    public Map<String, String> texts(String section) {
        Map<String, String> texts = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> field : node(section).properties()) {
            if (!field.getValue().isTextual()) {
                throw invalid(section + "." + field.getKey(), "must be a string");
            }
            texts.put(field.getKey(), field.getValue().textValue());
        }
        return texts;
    }

    /** Returns whether the key is present. */
    public boolean has(String key) {
        return !node(key).isMissingNode();
    }

    /** Throws {@link SettingsException} if a section has a key that is not in {@code known}, such as a misspelt one. */
    public void rejectUnknownKeys(String section, List<String> known) {
        Optional<String> unknown = Optional.empty();
        for (String key : (Iterable<String>) () -> node(section).fieldNames()) {
            if (!known.contains(key)) {
                unknown = Optional.of(key);
            }
        }
        if (unknown.isPresent()) {
            throw invalid(
                    section + "." + unknown.get(), "is not a known key; must be one of " + String.join(", ", known));
        }
    }

    private long integerInRange(String key, long min, long max) {
        JsonNode value = node(key);
        if (!value.isIntegralNumber() || value.longValue() < min || value.longValue() > max) {
            throw invalid(key, "must be a whole number from " + min + " to " + max);
        }
        return value.longValue();
    }

    private String requireMatch(String key, String value, Pattern pattern) {
        if (!pattern.matcher(value).matches()) {
            throw invalid(key, "must match " + pattern);
        }
        return value;
    }

    private URI parseUri(String key, String text) {
        try {
            return URI.create(text);
        } catch (IllegalArgumentException e) {
            throw invalid(key, "must be a URL");
        }
    }

    private JsonNode node(String key) {
        JsonNode node = root;
        for (String segment : key.split("\\.", -1)) {
            node = node.path(segment);
        }
        return node;
    }

    private SettingsException invalid(String key, String rule) {
        JsonNode value = node(key);
        return new SettingsException(file, key, value.isMissingNode() ? "(missing)" : value.toString(), rule);
    }
}

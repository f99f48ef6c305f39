package io.carawaylift.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.carawaylift.model.ResultCode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Reconstructs from log lines of host programs how a request was handled and which state its host knew at that time. Lines
 * of several hosts may be mixed, and any text may precede the JSON object of a line. Lines without an event are ignored.
 */
final class RequestTimeline {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<JsonNode> events = new ArrayList<>();

    /** Reads all lines and orders their events by time. */
    RequestTimeline(Stream<String> logLines) {
        logLines.forEach(line -> parse(line).ifPresent(events::add));
        events.sort(Comparator.comparingDouble(event -> event.path("ts").asDouble()));
    }

    private static Optional<JsonNode> parse(String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode event = MAPPER.readTree(line.substring(start));
            return event.path("event").isTextual() ? Optional.of(event) : Optional.empty();
        } catch (JsonProcessingException e) {
            // Not a log event: other text may contain a brace.
            return Optional.empty();
        }
    }

    /** Returns the timeline of a request as lines of text, or an empty list if no host logged it. */
    List<String> describe(String requestId) {
        List<String> lines = new ArrayList<>();
        for (JsonNode event : events) {
            if (event.path("event").asText().equals("request")
                    && event.path("id").asText().equals(requestId)) {
                appendRequest(event, lines);
            }
        }
        return lines;
    }

    private void appendRequest(JsonNode request, List<String> lines) {
        String host = request.path("host").asText();
        double endedMillis = request.path("ts").asDouble();
        double arrivedMillis = endedMillis - request.path("ms").asDouble();
        int code = request.path("code").asInt();
        lines.add("host %s, arrived at %.0f, answered after %.0f ms: status %d, code %d %s (%s)"
                .formatted(
                        host,
                        arrivedMillis,
                        request.path("ms").asDouble(),
                        request.path("status").asInt(),
                        code,
                        codeMeaning(code),
                        request.path("reason").asText()));
        lines.add("  route %s to service %s by configuration %d, object %s"
                .formatted(
                        request.path("route").asText(),
                        request.path("service").asText(),
                        request.path("version").asLong(),
                        request.path("object").asText("none")));
        Set<String> endpoints = new HashSet<>();
        for (String step : request.path("steps").asText().split("; ", -1)) {
            if (!step.isEmpty()) {
                lines.add("  " + step);
                endpoints.addAll(endpointsIn(step));
            }
        }
        hostStateAt(host, endedMillis, endpoints).forEach(line -> lines.add("  host state: " + line));
    }

    /** Returns the words of a step that some event names as an endpoint. */
    private Set<String> endpointsIn(String step) {
        Set<String> words = new HashSet<>(List.of(step.replace(":", "").split(" ", -1)));
        Set<String> loggedEndpoints = new HashSet<>();
        events.forEach(event -> loggedEndpoints.add(event.path("endpoint").asText()));
        words.retainAll(loggedEndpoints);
        return words;
    }

    /**
     * Returns the last event of {@code host} up to {@code atMillis} for each state that affects a request: the given
     * endpoints, configuration, zones, store and the process itself.
     */
    private List<String> hostStateAt(String host, double atMillis, Set<String> endpoints) {
        Map<String, JsonNode> latestByKey = new LinkedHashMap<>();
        for (JsonNode event : events) {
            boolean loggedByThen =
                    event.path("host").asText().equals(host) && event.path("ts").asDouble() <= atMillis;
            if (loggedByThen) {
                stateKey(event, endpoints).ifPresent(key -> latestByKey.put(key, event));
            }
        }
        List<String> lines = new ArrayList<>();
        latestByKey
                .values()
                .forEach(event -> lines.add(String.format(
                                Locale.ROOT,
                                "%.0f ms before: ",
                                atMillis - event.path("ts").asDouble())
                        + event));
        return lines;
    }

    private static Optional<String> stateKey(JsonNode event, Set<String> endpoints) {
        String name = event.path("event").asText();
        return switch (name) {
            case "endpoint.listed", "endpoint.removed" -> {
                String endpoint = event.path("endpoint").asText();
                yield endpoints.contains(endpoint) ? Optional.of("endpoint " + endpoint) : Optional.empty();
            }
            case "configuration.in_force", "configuration.ignored", "configuration.refused" -> Optional.of(name);
            case "zone.evacuation" -> Optional.of("zone " + event.path("zone").asText());
            case "dependency.lost", "dependency.regained" ->
                event.path("dependency").asText().equals("store")
                        ? Optional.of("store " + event.path("kind").asText())
                        : Optional.empty();
            case "started", "stopping", "stopped" -> Optional.of("life");
            default -> Optional.empty();
        };
    }

    private static String codeMeaning(int code) {
        return ResultCode.ofNumber(code)
                .map(resultCode -> resultCode.name() + ": " + resultCode.meaning())
                .orElse("unknown");
    }
}

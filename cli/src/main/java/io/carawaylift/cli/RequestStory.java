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
 * Tells from log lines of host programs how one request went, and what its host believed then. Lines of several hosts may be
 * mixed and may have any text before their JSON object; other lines are passed over.
 */
final class RequestStory {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<JsonNode> events = new ArrayList<>();

    /** Reads log lines. */
    RequestStory(Stream<String> lines) {
        lines.forEach(line -> parse(line).ifPresent(events::add));
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
            // Text of another program that happens to have a brace.
            return Optional.empty();
        }
    }

    /** Returns the story in lines, or no line if no host logged the request. */
    List<String> of(String requestId) {
        List<String> story = new ArrayList<>();
        for (JsonNode event : events) {
            if (event.path("event").asText().equals("request")
                    && event.path("id").asText().equals(requestId)) {
                tell(event, story);
            }
        }
        return story;
    }

    private void tell(JsonNode request, List<String> story) {
        String host = request.path("host").asText();
        double ended = request.path("ts").asDouble();
        double arrived = ended - request.path("ms").asDouble();
        int code = request.path("code").asInt();
        story.add("host %s, arrived at %.0f, answered after %.0f ms: status %d, code %d %s (%s)"
                .formatted(
                        host,
                        arrived,
                        request.path("ms").asDouble(),
                        request.path("status").asInt(),
                        code,
                        meaning(code),
                        request.path("reason").asText()));
        story.add("  route %s to service %s by configuration %d, object %s"
                .formatted(
                        request.path("route").asText(),
                        request.path("service").asText(),
                        request.path("version").asLong(),
                        request.path("object").asText("none")));
        Set<String> endpoints = new HashSet<>();
        for (String step : request.path("steps").asText().split("; ", -1)) {
            if (!step.isEmpty()) {
                story.add("  " + step);
                endpoints.addAll(endpointsIn(step));
            }
        }
        beliefs(host, ended, endpoints).forEach(line -> story.add("  believed: " + line));
    }

    /** Returns the names of endpoints in a step; they are words that some line lists as an endpoint. */
    private Set<String> endpointsIn(String step) {
        Set<String> words = new HashSet<>(List.of(step.replace(":", "").split(" ", -1)));
        Set<String> known = new HashSet<>();
        events.forEach(event -> known.add(event.path("endpoint").asText()));
        words.retainAll(known);
        return words;
    }

    /** Returns the last event about each thing that mattered, as the host knew it at that time. */
    private List<String> beliefs(String host, double until, Set<String> endpoints) {
        Map<String, JsonNode> last = new LinkedHashMap<>();
        for (JsonNode event : events) {
            boolean known =
                    event.path("host").asText().equals(host) && event.path("ts").asDouble() <= until;
            if (known) {
                subject(event, endpoints).ifPresent(subject -> last.put(subject, event));
            }
        }
        List<String> lines = new ArrayList<>();
        last.values()
                .forEach(event -> lines.add(String.format(
                                Locale.ROOT,
                                "%.0f ms before: ",
                                until - event.path("ts").asDouble())
                        + event));
        return lines;
    }

    private static Optional<String> subject(JsonNode event, Set<String> endpoints) {
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

    private static String meaning(int code) {
        return ResultCode.ofNumber(code)
                .map(each -> each.name() + ": " + each.meaning())
                .orElse("unknown");
    }
}

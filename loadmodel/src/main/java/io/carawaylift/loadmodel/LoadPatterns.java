package io.carawaylift.loadmodel;

import io.carawaylift.decisions.fleet.EndpointEntry;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** A fleet of three unequal regions and the known patterns of load and trouble on it. */
public final class LoadPatterns {
    private static final double WAVE_SWING = 0.55;
    private static final double WAVE_SECONDS = 36;
    private static final String FLAGS = "feature-flags-";
    private static final String DESKS = "desk-booking-";
    private static final long COLD_MILLIS = 3000;
    private static final int ONE_IN = 6;

    private static final Map<String, Supplier<LoadPattern>> ALL = all();

    private LoadPatterns() {}

    /** Returns the names of all patterns. */
    public static Set<String> names() {
        return ALL.keySet();
    }

    /**
     * Returns a pattern.
     *
     * @throws IllegalArgumentException if there is no pattern of this name
     */
    public static LoadPattern named(String name) {
        Supplier<LoadPattern> pattern = ALL.get(name);
        if (pattern == null) {
            throw new IllegalArgumentException("no pattern " + name + "; expected one of " + ALL.keySet());
        }
        return pattern.get();
    }

    /**
     * Returns a fleet in which a third of the callers are in a region with a tenth of the endpoints.
     *
     * @param scale factor of the hosts, endpoints, objects and requests
     */
    public static FleetModel unequalRegions(int scale) {
        Map<String, Integer> lookups = Map.of("w1", scale, "c1", 3 * scale, "s1", 4 * scale);
        Map<String, Integer> orders = Map.of("w1", scale, "c1", 2 * scale, "s1", 3 * scale);
        return FleetModel.builder()
                .zone("w1", "west", 2 * scale)
                .zone("c1", "centre", 2 * scale)
                .zone("s1", "south", 2 * scale)
                .zone("w2", "west", 2 * scale)
                .zone("c2", "centre", scale)
                .zone("s2", "south", scale)
                .service(ServiceModel.builder("lookups")
                        .endpoints(inBothZones(lookups))
                        .slots(3, 9)
                        .processing(900, 0.3)
                        .latency(600, 1500, 4000)
                        .load(70 * scale, 24 * scale)
                        .priority(1)
                        .build())
                .service(ServiceModel.builder("orders")
                        .endpoints(inBothZones(orders))
                        .slots(3, 9)
                        .processing(1100, 0.3)
                        .latency(1500, 2500, 6000)
                        .load(35 * scale, 24 * scale)
                        .priority(2)
                        .repeatable(false)
                        .build())
                .service(ServiceModel.builder("downloads")
                        .endpoints(inBothZones(orders))
                        .slots(3, 9)
                        .processing(700, 0.3)
                        .latency(500, 4000, 4000)
                        .load(12 * scale, 24 * scale)
                        .priority(0)
                        .largeResponse(true)
                        .build())
                .build();
    }

    private static Map<String, Integer> inBothZones(Map<String, Integer> firstZones) {
        Map<String, Integer> both = new LinkedHashMap<>(firstZones);
        firstZones.forEach((zone, count) -> both.put(zone.charAt(0) + "2", count));
        return both;
    }

    private static Map<String, Supplier<LoadPattern>> all() {
        Map<String, Supplier<LoadPattern>> patterns = new LinkedHashMap<>();
        patterns.put("steady", () -> LoadPattern.builder("steady").build());
        patterns.put(
                "waves",
                () -> LoadPattern.builder("waves").rate(LoadPatterns::wave).build());
        patterns.put(
                "flash-crowd-of-one-kind",
                () -> LoadPattern.builder("flash-crowd-of-one-kind")
                        .rate((zone, service, second) ->
                                service.equals("lookups") && second > 10 && second < 20 ? 4 : 1)
                        .build());
        patterns.put(
                "callers-move-from-a-zone",
                () -> LoadPattern.builder("callers-move-from-a-zone")
                        .rate((zone, service, second) ->
                                second < 10 || !zone.startsWith("s") ? 1 : zone.equals("s1") ? 0.4 : 1.6)
                        .build());
        patterns.put(
                "slow-endpoints",
                () -> LoadPattern.builder("slow-endpoints")
                        .at(10, run -> run.changeEndpoints(LoadPatterns::isOneInSix, each -> each.setSlowness(5)))
                        .build());
        patterns.put(
                "failing-endpoints",
                () -> LoadPattern.builder("failing-endpoints")
                        .at(
                                10,
                                run -> run.changeEndpoints(
                                        LoadPatterns::isOneInSix, each -> each.setFailureProbability(0.45)))
                        .build());
        patterns.put(
                "endpoints-of-a-zone-back-cold",
                () -> LoadPattern.builder("endpoints-of-a-zone-back-cold")
                        .at(10, run -> run.makeCold(inZone("s1"), COLD_MILLIS))
                        .build());
        patterns.put(
                "loss-of-a-zone",
                () -> LoadPattern.builder("loss-of-a-zone")
                        .at(10, run -> run.removeEndpoints(inZone("c1")))
                        .build());
        patterns.put(
                "evacuation-while-another-region-is-full",
                () -> LoadPattern.builder("evacuation-while-another-region-is-full")
                        .rate((zone, service, second) -> zone.startsWith("c") ? 1.6 : 1)
                        .at(10, run -> run.evacuate(Set.of("s1")))
                        .at(20, run -> run.evacuate(Set.of()))
                        .build());
        // Section 8, deployment A: 1.3 times what the endpoints can do without caches, waves that move between zones.
        patterns.put(
                FLAGS + "waves",
                () -> LoadPattern.builder(FLAGS + "waves")
                        .rate(LoadPatterns::wave)
                        .build());
        // Section 8, deployment B: 1.2 times what the endpoints can do; reports must leave room for floor maps.
        patterns.put(
                DESKS + "steady", () -> LoadPattern.builder(DESKS + "steady").build());
        patterns.put(
                DESKS + "half-load",
                () -> LoadPattern.builder(DESKS + "half-load")
                        .rate((zone, service, second) -> 0.5)
                        .build());
        // Section 9: a zone of deployment A comes back cold.
        patterns.put(
                FLAGS + "zone-back-cold",
                () -> LoadPattern.builder(FLAGS + "zone-back-cold")
                        .at(10, run -> run.makeCold(inZone("s1"), COLD_MILLIS))
                        .build());
        return patterns;
    }

    /** Returns the fleet of a pattern. */
    public static FleetModel fleet(String pattern, int scale) {
        if (pattern.startsWith(FLAGS)) {
            return LoadFleets.featureFlags(scale);
        }
        return pattern.startsWith(DESKS) ? LoadFleets.deskBooking(scale) : unequalRegions(scale);
    }

    private static double wave(String zone, String service, double second) {
        double phase =
                switch (zone.charAt(0)) {
                    case 'w' -> 0;
                    case 'c' -> 1.0 / 3;
                    default -> 2.0 / 3;
                };
        return 1 + WAVE_SWING * Math.sin(2 * Math.PI * (second / WAVE_SECONDS + phase));
    }

    private static boolean isOneInSix(EndpointEntry entry) {
        String id = entry.id();
        return Integer.parseInt(id.substring(id.lastIndexOf('-') + 1)) % ONE_IN == 0;
    }

    private static Predicate<EndpointEntry> inZone(String zone) {
        return entry -> entry.zone().equals(zone);
    }
}

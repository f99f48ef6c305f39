package io.carawaylift.decisions.steering;

import io.carawaylift.decisions.Invariant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** Shares of the upstreams of one service, and the state of the weighted round robin over them. */
final class ServiceShares {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final Map<String, Double> current = new LinkedHashMap<>();
    private final Map<String, Double> currentWeights = new LinkedHashMap<>();
    private Map<String, Double> wanted;
    private double maxRisePerSecond;
    private long latestNanos;

    ServiceShares(Map<String, Double> wanted, double maxRisePerSecond, long nowNanos) {
        this.wanted = wanted;
        this.maxRisePerSecond = maxRisePerSecond;
        this.latestNanos = nowNanos;
        current.putAll(wanted);
        checkSum();
    }

    /**
     * Replaces the wanted shares. Shares of upstreams that stay are kept and scaled to a sum of 1.
     *
     * @param allowed whether an upstream may have a share; the share of others drops to 0 at once
     */
    void updateWanted(
            Map<String, Double> shares, Predicate<String> allowed, double newMaxRisePerSecond, long nowNanos) {
        advance(nowNanos);
        Map<String, Double> retained = new LinkedHashMap<>();
        double sum = 0;
        for (String name : shares.keySet()) {
            double share = allowed.test(name) ? current.getOrDefault(name, 0.0) : 0;
            retained.put(name, share);
            sum += share;
        }
        current.clear();
        boolean noneWanted = shares.values().stream().allMatch(share -> share == 0);
        if (noneWanted || sum <= ROUNDING_TOLERANCE) {
            current.putAll(shares);
        } else {
            double scale = 1 / sum;
            retained.forEach((name, share) -> current.put(name, share * scale));
        }
        wanted = shares;
        maxRisePerSecond = newMaxRisePerSecond;
        currentWeights.keySet().retainAll(shares.keySet());
        checkSum();
    }

    /**
     * Moves the shares towards the wanted ones. Shares rise at most at the maximum rate; the others fall by the same total, so
     * that the sum stays 1.
     */
    void advance(long nowNanos) {
        double seconds = (nowNanos - latestNanos) / NANOS_PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        latestNanos = nowNanos;
        double totalRise = 0;
        double totalExcess = 0;
        for (Map.Entry<String, Double> entry : current.entrySet()) {
            double gap = wanted.get(entry.getKey()) - entry.getValue();
            totalRise += Math.min(Math.max(gap, 0), maxRisePerSecond * seconds);
            totalExcess += Math.max(-gap, 0);
        }
        if (totalRise <= 0 || totalExcess <= 0) {
            return;
        }
        double fallFraction = Math.min(1, totalRise / totalExcess);
        current.replaceAll((name, share) -> {
            double gap = wanted.get(name) - share;
            return share + (gap > 0 ? Math.min(gap, maxRisePerSecond * seconds) : gap * fallFraction);
        });
        checkSum();
    }

    Map<String, Double> shares() {
        return Map.copyOf(current);
    }

    /** Chooses by smooth weighted round robin among the usable upstreams. */
    Optional<String> choose(Predicate<String> usable) {
        Map<String, Double> usableShares = new LinkedHashMap<>();
        double sum = 0;
        for (Map.Entry<String, Double> entry : current.entrySet()) {
            if (entry.getValue() > 0 && usable.test(entry.getKey())) {
                usableShares.put(entry.getKey(), entry.getValue());
                sum += entry.getValue();
            }
        }
        String chosen = null;
        double maxWeight = Double.NEGATIVE_INFINITY;
        for (Map.Entry<String, Double> entry : usableShares.entrySet()) {
            double weight = currentWeights.merge(entry.getKey(), entry.getValue() / sum, Double::sum);
            if (weight > maxWeight) {
                maxWeight = weight;
                chosen = entry.getKey();
            }
        }
        if (chosen != null) {
            currentWeights.merge(chosen, -1.0, Double::sum);
        }
        return Optional.ofNullable(chosen);
    }

    private void checkSum() {
        double sum = current.values().stream().mapToDouble(Double::doubleValue).sum();
        double target = wanted.values().stream().anyMatch(share -> share > 0) ? 1 : 0;
        Invariant.check(Math.abs(sum - target) < ROUNDING_TOLERANCE, "shares of a service must sum to 1", sum);
    }
}

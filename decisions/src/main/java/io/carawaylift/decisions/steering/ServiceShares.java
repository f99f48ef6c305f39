package io.carawaylift.decisions.steering;

import io.carawaylift.decisions.Invariant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** Shares of one service's upstreams, and whose turn it is. */
final class ServiceShares {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double ROUNDING = 1e-6;

    private final Map<String, Double> current = new LinkedHashMap<>();
    private final Map<String, Double> due = new LinkedHashMap<>();
    private Map<String, Double> wanted;
    private double risePerSecond;
    private long atNanos;

    ServiceShares(Map<String, Double> wanted, double risePerSecond, long nowNanos) {
        this.wanted = wanted;
        this.risePerSecond = risePerSecond;
        this.atNanos = nowNanos;
        current.putAll(wanted);
        checkSum();
    }

    /**
     * Takes new wanted shares.
     *
     * @param allowed whether an upstream may have a share at all; others lose theirs at once
     */
    void want(Map<String, Double> shares, Predicate<String> allowed, double riseLimit, long nowNanos) {
        advance(nowNanos);
        Map<String, Double> kept = new LinkedHashMap<>();
        double sum = 0;
        for (String name : shares.keySet()) {
            double share = allowed.test(name) ? current.getOrDefault(name, 0.0) : 0;
            kept.put(name, share);
            sum += share;
        }
        current.clear();
        boolean noneWanted = shares.values().stream().allMatch(share -> share == 0);
        if (noneWanted || sum <= ROUNDING) {
            current.putAll(shares);
        } else {
            double scale = 1 / sum;
            kept.forEach((name, share) -> current.put(name, share * scale));
        }
        wanted = shares;
        risePerSecond = riseLimit;
        due.keySet().retainAll(shares.keySet());
        checkSum();
    }

    /** Moves shares towards the wanted ones; what one upstream gains others lose, so that the sum stays 1. */
    void advance(long nowNanos) {
        double seconds = (nowNanos - atNanos) / NANOS_PER_SECOND;
        if (seconds <= 0) {
            return;
        }
        atNanos = nowNanos;
        double risen = 0;
        double toFall = 0;
        for (Map.Entry<String, Double> entry : current.entrySet()) {
            double gap = wanted.get(entry.getKey()) - entry.getValue();
            risen += Math.min(Math.max(gap, 0), risePerSecond * seconds);
            toFall += Math.max(-gap, 0);
        }
        if (risen <= 0 || toFall <= 0) {
            return;
        }
        double fallen = Math.min(1, risen / toFall);
        current.replaceAll((name, share) -> {
            double gap = wanted.get(name) - share;
            return share + (gap > 0 ? Math.min(gap, risePerSecond * seconds) : gap * fallen);
        });
        checkSum();
    }

    Map<String, Double> shares() {
        return Map.copyOf(current);
    }

    /** Chooses by smooth weighted round robin among the usable upstreams. */
    Optional<String> choose(Predicate<String> usable) {
        Map<String, Double> open = new LinkedHashMap<>();
        double sum = 0;
        for (Map.Entry<String, Double> entry : current.entrySet()) {
            if (entry.getValue() > 0 && usable.test(entry.getKey())) {
                open.put(entry.getKey(), entry.getValue());
                sum += entry.getValue();
            }
        }
        String chosen = null;
        double most = Double.NEGATIVE_INFINITY;
        for (Map.Entry<String, Double> entry : open.entrySet()) {
            double turn = due.merge(entry.getKey(), entry.getValue() / sum, Double::sum);
            if (turn > most) {
                most = turn;
                chosen = entry.getKey();
            }
        }
        if (chosen != null) {
            due.merge(chosen, -1.0, Double::sum);
        }
        return Optional.ofNullable(chosen);
    }

    private void checkSum() {
        double sum = current.values().stream().mapToDouble(Double::doubleValue).sum();
        double target = wanted.values().stream().anyMatch(share -> share > 0) ? 1 : 0;
        Invariant.check(Math.abs(sum - target) < ROUNDING, "shares of a service must sum to 1", sum);
    }
}

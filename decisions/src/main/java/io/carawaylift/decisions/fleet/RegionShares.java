package io.carawaylift.decisions.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Computes the shares of one region's requests for a service that run in each region. Requests stay in their own region
 * while it has free slots; the excess goes to regions with free slots. Shares move at a bounded rate. Times are
 * monotonic nanoseconds. Not thread-safe.
 */
public final class RegionShares {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Requests by which a region may exceed its share; a few keep the shares of short windows steady. */
    private static final double MAX_DEBT_REQUESTS = 3;

    /** Reaches a steady state within a few hundred requests. */
    private static final double CORRECTION_STEP = 0.01;

    private static final double MAX_CORRECTION = 1;

    /** Fraction of the requests that may run outside the region that was planned for them. */
    private static final double SPILL_FRACTION = 0.02;

    /**
     * Utilization of all slots above which none may: their objects are not cached elsewhere, which takes more capacity
     * than it gives.
     */
    private static final double MAX_SPILL_UTILIZATION = 0.75;

    /** Requests that may do so at once. */
    private static final double MAX_SPILL_BURST = 2;

    private final String ownRegion;
    private double maxOwnUtilization;
    private double maxChangePerSecond;
    private final Map<String, Double> shares = new TreeMap<>();
    private final Map<String, Double> credits = new HashMap<>();

    /** Corrections of the shares by which objects choose their region, as natural logarithms. */
    private final Map<String, Double> corrections = new HashMap<>();

    private boolean correcting = true;

    private long updatedNanos;
    private double spillCredit;
    private double utilization;

    /**
     * Creates shares that keep all requests in {@code ownRegion} until the first update.
     *
     * @param maxOwnUtilization fraction of a region's slots up to which requests stay in their own region
     * @param maxChangePerSecond share that may move to another region per second
     */
    public RegionShares(String ownRegion, double maxOwnUtilization, double maxChangePerSecond) {
        this.ownRegion = ownRegion;
        this.maxOwnUtilization = maxOwnUtilization;
        this.maxChangePerSecond = maxChangePerSecond;
    }

    /** Sets the fraction of a region's slots up to which requests stay in their own region. */
    public void setMaxOwnUtilization(double fraction) {
        maxOwnUtilization = fraction;
    }

    /** Sets the share that may move to another region per second. */
    public void setMaxChangePerSecond(double share) {
        maxChangePerSecond = share;
    }

    /**
     * Moves the shares towards their targets.
     *
     * @param slots usable slots by region
     * @param demand slots kept busy by the requests of each region's callers
     * @param maxOwnShare share of the requests whose objects the endpoints of the own region can cache
     */
    public void update(Map<String, Double> slots, Map<String, Double> demand, double maxOwnShare, long nowNanos) {
        utilization = sum(demand) / Math.max(1, sum(slots));
        Map<String, Double> targetShares = targetShares(slots, demand, maxOwnShare);
        if (shares.isEmpty()) {
            shares.putAll(targetShares);
        } else {
            double seconds = Math.max(0, nowNanos - updatedNanos) / NANOS_PER_SECOND;
            moveTowards(targetShares, maxChangePerSecond * seconds);
        }
        updatedNanos = nowNanos;
    }

    /**
     * Returns the region of the next request among the usable ones, or an empty string if none has a share. Requests
     * for an object go to the same region as long as the shares stay accurate to within a few requests, so that few
     * endpoints have to cache it.
     *
     * @param object key of the object that the request concerns, empty if none
     */
    public String next(String object, Predicate<String> usable) {
        spillCredit = Math.min(MAX_SPILL_BURST, spillCredit + SPILL_FRACTION);
        double total = 0;
        String creditor = "";
        String preferred = "";
        double maxCredit = Double.NEGATIVE_INFINITY;
        double minScore = Double.POSITIVE_INFINITY;
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            String region = share.getKey();
            if (share.getValue() <= 0 || !usable.test(region)) {
                continue;
            }
            total += share.getValue();
            double credit = credits.merge(region, share.getValue(), Double::sum);
            if (credit > maxCredit) {
                maxCredit = credit;
                creditor = region;
            }
            double weight = share.getValue() * Math.exp(corrections.getOrDefault(region, 0.0));
            double score = -Math.log(Rendezvous.fraction(object, region)) / weight;
            if (score < minScore) {
                minScore = score;
                preferred = region;
            }
        }
        if (creditor.isEmpty()) {
            return "";
        }
        if (correcting && !object.isEmpty()) {
            correct(preferred, total);
        }
        boolean withinDebt = !object.isEmpty() && credits.get(preferred) - total >= -MAX_DEBT_REQUESTS;
        String chosen = withinDebt ? preferred : creditor;
        credits.merge(chosen, -total, Double::sum);
        return chosen;
    }

    /** Sets whether the weights by which objects choose their region are corrected; without it the last ones hold. */
    public void setCorrecting(boolean newCorrecting) {
        correcting = newCorrecting;
    }

    /**
     * Corrects the weights by which objects choose their region. A few objects with many requests make a region get more
     * or less than its share; without the correction the excess would be dealt to all regions request by request, and
     * each of them would have to cache the objects.
     */
    private void correct(String preferred, double total) {
        shares.forEach((region, share) -> {
            double chosen = region.equals(preferred) ? 1 : 0;
            double changed = corrections.getOrDefault(region, 0.0) + CORRECTION_STEP * (share / total - chosen);
            corrections.put(region, Math.max(-MAX_CORRECTION, Math.min(MAX_CORRECTION, changed)));
        });
    }

    /**
     * Returns whether one more request may run outside the region that was planned for it; takes the permit. A small
     * fraction of the requests may, so that the shares of short windows stay steady.
     */
    public boolean trySpill() {
        if (!maySpill()) {
            return false;
        }
        spillCredit--;
        return true;
    }

    /** Returns whether {@link #trySpill} would permit a request. */
    public boolean maySpill() {
        return spillCredit >= 1 && utilization <= MAX_SPILL_UTILIZATION;
    }

    /** Returns whether the requests of all regions need more than the slots of all regions. */
    public boolean isOverloaded() {
        return utilization > 1;
    }

    /** Returns the current share of a region. */
    public double share(String region) {
        return shares.getOrDefault(region, 0.0);
    }

    private Map<String, Double> targetShares(
            Map<String, Double> slots, Map<String, Double> demand, double maxOwnShare) {
        double plannedUtilization = Math.max(maxOwnUtilization, utilization);
        double ownDemand = demand.getOrDefault(ownRegion, 0.0);
        double ownCapacity = plannedUtilization * slots.getOrDefault(ownRegion, 0.0);
        double ownShare = Math.min(maxOwnShare, ownDemand <= ownCapacity ? 1 : ownCapacity / ownDemand);
        Map<String, Double> targetShares = new TreeMap<>();
        targetShares.put(ownRegion, ownShare);
        Map<String, Double> freeSlots = new TreeMap<>();
        for (Map.Entry<String, Double> region : slots.entrySet()) {
            double free = plannedUtilization * region.getValue() - demand.getOrDefault(region.getKey(), 0.0);
            if (!region.getKey().equals(ownRegion) && free > 0) {
                freeSlots.put(region.getKey(), free);
            }
        }
        double totalFreeSlots = sum(freeSlots);
        if (totalFreeSlots <= 0) {
            targetShares.put(ownRegion, 1.0);
            return targetShares;
        }
        freeSlots.forEach((region, free) -> targetShares.put(region, (1 - ownShare) * free / totalFreeSlots));
        return targetShares;
    }

    private void moveTowards(Map<String, Double> targetShares, double maxMoved) {
        Map<String, Double> gaps = new HashMap<>();
        targetShares.forEach((region, share) -> gaps.put(region, share - share(region)));
        shares.forEach((region, share) -> gaps.putIfAbsent(region, -share));
        double moved =
                gaps.values().stream().mapToDouble(gap -> Math.max(0, gap)).sum();
        double fraction = moved <= maxMoved ? 1 : maxMoved / moved;
        gaps.forEach((region, gap) -> shares.merge(region, fraction * gap, Double::sum));
    }

    private static double sum(Map<String, Double> values) {
        return values.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}

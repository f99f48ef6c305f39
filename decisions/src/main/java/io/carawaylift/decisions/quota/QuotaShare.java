package io.carawaylift.decisions.quota;

import io.carawaylift.decisions.customer.Customer;
import io.carawaylift.model.QuotaCount;

/**
 * What a host may admit of one customer's requests.
 *
 * @param fraction part of the remaining requests that this host may admit
 * @param allowed requests that it may admit, a fraction of a request included; negative if others must leave first
 * @param roundedUp part of the fractions of a request that may be rounded up
 * @param least requests that it may admit in any case
 * @param used requests that it has admitted of these
 * @param total requests of all hosts in the window, as far as known
 */
record QuotaShare(double fraction, double allowed, double roundedUp, int least, int used, QuotaCount total) {
    /**
     * Highest demand that is expected, as a multiple of the rate; a customer that sends 7.5 times its usual rate sends
     * 4.7 times the limit.
     */
    private static final double MAX_DEMAND = 4.7;

    /** Part of the difference between target and bound that may be used up by the variation of small numbers. */
    private static final double VARIATION_PART = 0.35;

    private static final double MAX_DEVIATIONS = 1;

    /** Part of what remains that is divided evenly when nothing is used, so that hosts with new callers can admit them. */
    private static final double EVEN_PART = 0.6;

    /** Fraction of silent hosts up to which requests are admitted without a share. */
    private static final double MAX_SILENT = 0.25;

    /** Bound of the requests that each host may admit without a share, if there is one. */
    private static final int MAX_EACH = 8;

    /** Age of the sums that is assumed at least, since arrivals are uneven over short times. */
    private static final double MIN_AGE_SECONDS = 0.5;

    /** Hosts that share the limits: all that are listed, and those of them whose counts are known. */
    record Hosts(int listed, int reporting) {
        int silent() {
            return Math.max(0, listed - reporting);
        }
    }

    /** Returns the share of a host that knows no sums: an equal part, at most {@code granted}. */
    static QuotaShare isolated(
            QuotaTerms terms, Customer customer, int listedHosts, double granted, int admittedInWindow) {
        double equalPart = Math.min(terms.target(customer) / listedHosts, Math.floor(terms.bound(customer)));
        double allowed = Math.min(granted, equalPart);
        return new QuotaShare(
                1.0 / listedHosts,
                allowed,
                roundedUp(terms, customer, listedHosts),
                0,
                admittedInWindow,
                QuotaCount.NONE);
    }

    /**
     * Returns the share of a host that knows the sums over all hosts.
     *
     * @param total sums, which include one of the host's reports
     * @param arrived arrivals at this host as of that report
     * @param sinceReport admissions by this host since that report
     * @param ageSeconds age of the sums
     */
    static QuotaShare known(
            QuotaTerms terms,
            Customer customer,
            Hosts hosts,
            QuotaCount total,
            int arrived,
            long sinceReport,
            double ageSeconds) {
        double target = terms.target(customer);
        double bound = terms.bound(customer);
        double remaining = target * (1 - (double) hosts.silent() / hosts.listed()) - total.admitted();
        double evenPart = EVEN_PART * Math.max(0, remaining) / target;
        double byDemand = total.arrived() == 0 ? 1.0 / hosts.listed() : (double) arrived / total.arrived();
        double fraction = (1 - evenPart) * Math.min(1, byDemand) + evenPart / hosts.listed();
        double share = fraction * remaining;
        double roundedUp = roundedUp(terms, customer, hosts.listed());
        int least = 0;
        if (roundedUp == 1 && hosts.silent() <= MAX_SILENT * hosts.listed() && remaining > 0) {
            double demand = MAX_DEMAND * customer.requestsPerSecond() * Math.max(MIN_AGE_SECONDS, ageSeconds);
            double room = bound - terms.reserve() - target * hosts.silent() / hosts.listed() - total.admitted();
            least = eachMayAdmit(hosts.listed(), demand, room);
        }
        if (remaining > 0) {
            double deviations =
                    Math.min(MAX_DEVIATIONS, VARIATION_PART * (bound - target) / Math.sqrt(hosts.listed() * remaining));
            share += deviations * Math.sqrt(share);
        }
        return new QuotaShare(fraction, share, roundedUp, least, (int) sinceReport, total);
    }

    /**
     * Returns the part of the fractions of a request that may be rounded up. The numbers of all hosts, rounded at random,
     * vary by up to half of the root of the hosts; nothing is rounded up if the bound leaves no room for that.
     */
    private static double roundedUp(QuotaTerms terms, Customer customer, int hosts) {
        return Math.min(1, (terms.bound(customer) - terms.target(customer)) / Math.sqrt(hosts));
    }

    /**
     * Returns how many requests each host may admit without a share, so that all hosts together are expected to admit
     * no more than there is room for if the demand since the counts was the highest expected.
     */
    private static int eachMayAdmit(int hosts, double demand, double room) {
        if (demand <= room) {
            return (int) room;
        }
        double mean = demand / hosts;
        double probability = Math.exp(-mean);
        double moreThan = 1 - probability;
        double expected = 0;
        for (int each = 0; each < MAX_EACH; each++) {
            expected += hosts * moreThan;
            if (expected > room) {
                return each;
            }
            probability *= mean / (each + 1);
            moreThan -= probability;
        }
        return MAX_EACH;
    }

    /** Returns this share with at most {@code more} further requests allowed. */
    QuotaShare atMost(double more) {
        return new QuotaShare(fraction, Math.min(allowed, used + more), roundedUp, 0, used, total);
    }

    /** Returns the requests that may be admitted; {@code rounding} is a random number between 0 and 1. */
    int permits(double rounding) {
        return Math.max(least, (int) Math.floor(allowed + roundedUp * rounding));
    }

    /** Returns the nanoseconds until the requests that leave the window are expected to make the next one possible. */
    long nanosUntilNext(long windowNanos) {
        double needed = (used + 1 - allowed) / Math.max(fraction, 1e-6);
        long step = windowNanos / QuotaCount.STEPS_PER_WINDOW;
        QuotaCount aged = total;
        for (int steps = 1; steps <= QuotaCount.LISTED_STEPS; steps++) {
            aged = aged.after(1);
            if (total.admitted() - aged.admitted() >= needed) {
                return steps * step;
            }
        }
        double left = (double) total.admitted() - aged.admitted();
        double rest = Math.max(1, aged.admitted());
        long listed = QuotaCount.LISTED_STEPS * step;
        return listed + (long) (Math.min(1, (needed - left) / rest) * (windowNanos - listed));
    }
}

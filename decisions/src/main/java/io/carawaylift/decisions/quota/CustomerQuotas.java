package io.carawaylift.decisions.quota;

import io.carawaylift.decisions.customer.Customer;
import io.carawaylift.model.QuotaCount;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * One host's part in limiting the requests of each customer over all hosts. The host counts its own requests and
 * receives, with some delay, the sums over all hosts. Each sum includes the host's own counts as of one of its reports;
 * what the host admitted since then is compared with its share of what remained at that time. So the admissions of all
 * hosts together stay within what remained, whatever each of them does not know of the others yet.
 *
 * <p>Created by {@link #builder}. Times are nanoseconds of a clock that does not stop while the machine is suspended.
 * Not thread-safe.
 */
public final class CustomerQuotas {
    /** Fraction of the hosts that sums of the last window included, below which sums are incomplete. */
    private static final double COMPLETE_FRACTION = 0.75;

    private static final double NANOS_PER_SECOND = 1e9;

    private final QuotaTerms terms;
    private long maxAgeNanos = 1_200_000_000L;
    private final RandomGenerator random;
    private final Map<String, CustomerState> states = new HashMap<>();
    private final Map<String, KnownTotals> knownBySource = new HashMap<>();
    private final Deque<SentReport> sentReports = new ArrayDeque<>();
    private KnownTotals lastComplete;
    private int mostHosts;
    private long mostHostsNanos;
    private int listedHosts = 1;
    private long sequence;

    /** Result of {@link #tryAdmit}: whether the request is admitted, else the milliseconds until a permit is expected. */
    public record Admission(boolean admitted, long waitMillis) {}

    /** The own counts as of a report, by customer. */
    private record SentReport(long sequence, long sentNanos, Map<String, ReportedState> states) {}

    private record ReportedState(long admittedInTotal, int admittedInWindow, int arrived) {
        static final ReportedState NONE = new ReportedState(0, 0, 0);
    }

    /**
     * Sums over all hosts.
     *
     * @param included the own report that they include
     * @param before the report before it: the counts of other hosts are up to one report older than the own
     */
    private record KnownTotals(QuotaTotals totals, SentReport included, SentReport before, long receivedNanos) {}

    private CustomerQuotas(Builder builder) {
        this.terms = Objects.requireNonNull(builder.terms, "terms");
        this.random = builder.random;
        this.sequence = builder.firstReport;
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Sets the number of hosts that share the limits, including this one and those that are out of reach. */
    public void setListedHosts(int hosts) {
        listedHosts = Math.max(1, hosts);
    }

    /** Sets the age from which sums are no longer used. */
    public void setMaxAgeNanos(long nanos) {
        maxAgeNanos = nanos;
    }

    /** Admits a request of a customer or returns when to try again. */
    public Admission tryAdmit(Customer customer, long nowNanos) {
        if (!customer.isLimited()) {
            return new Admission(true, 0);
        }
        CustomerState state = state(customer.name(), nowNanos);
        state.counts().recordArrival();
        KnownTotals known = known(nowNanos);
        boolean isolated = known == null;
        QuotaShare share =
                isolated ? isolatedShare(customer, state, nowNanos) : share(customer, state, known, nowNanos);
        int permits = share.permits(state.rounding());
        if (share.used() < permits) {
            state.counts().recordAdmission();
            return new Admission(true, 0);
        }
        long untilNext = isolated
                ? state.counts().nanosUntilLeft(share.used() + 1 - permits, nowNanos)
                : share.nanosUntilNext(terms.windowNanos());
        long interval = (long) (terms.windowNanos() / Math.max(1, share.fraction() * terms.quota(customer)));
        return new Admission(false, state.waitMillis(untilNext, interval, terms.windowNanos(), nowNanos));
    }

    /** Takes back the admission of a request that is refused without having run. */
    public void giveBack(Customer customer, long admittedNanos, long nowNanos) {
        if (customer.isLimited()) {
            state(customer.name(), nowNanos).counts().removeAdmission(admittedNanos);
        }
    }

    /** Moves the admission of a request to the time at which it is sent, so that it counts in the window in which it runs. */
    public void sent(Customer customer, long admittedNanos, long nowNanos) {
        if (customer.isLimited()) {
            SlidingCounts counts = state(customer.name(), nowNanos).counts();
            counts.removeAdmission(admittedNanos);
            counts.recordAdmission();
        }
    }

    /** Returns the counts of this host for a report, which gets the next number. */
    public OwnCounts counts(long nowNanos) {
        sequence++;
        Map<String, QuotaCount> counts = new HashMap<>();
        Map<String, ReportedState> reported = new HashMap<>();
        states.values().removeIf(state -> state.isForgotten(nowNanos));
        states.forEach((customer, state) -> {
            state.counts().advance(nowNanos);
            if (!state.counts().isEmpty()) {
                counts.put(customer, state.counts().count());
            }
            reported.put(
                    customer,
                    new ReportedState(
                            state.counts().admittedInTotal(),
                            state.counts().admittedInWindow(),
                            state.counts().arrivedInWindow()));
        });
        sentReports.addLast(new SentReport(sequence, nowNanos, reported));
        while (nowNanos - sentReports.getFirst().sentNanos() > 2 * maxAgeNanos) {
            sentReports.removeFirst();
        }
        return new OwnCounts(sequence, counts);
    }

    /**
     * Records the sums over all hosts. Sums that include none of the last reports of this host are ignored, since they
     * may have been delayed for an unknown time.
     *
     * @param source relay that sent them
     * @param includedReport number of the report of this host that they include
     */
    public void update(String source, long includedReport, QuotaTotals totals, long nowNanos) {
        SentReport included = sentReport(includedReport);
        SentReport preceding = sentReport(includedReport - 1);
        if (included == null) {
            return;
        }
        KnownTotals before = knownBySource.get(source);
        if (before == null || before.included().sequence() <= includedReport) {
            KnownTotals known = new KnownTotals(totals, included, preceding == null ? included : preceding, nowNanos);
            knownBySource.put(source, known);
            recordCompleteness(known, nowNanos);
            states.values().forEach(state -> state.roundAnew(random));
        }
    }

    private void recordCompleteness(KnownTotals known, long nowNanos) {
        int hosts = known.totals().hosts();
        if (hosts >= mostHosts || nowNanos - mostHostsNanos > terms.windowNanos() + maxAgeNanos) {
            mostHosts = hosts;
            mostHostsNanos = nowNanos;
        }
        if (isComplete(known)) {
            lastComplete = known;
        }
    }

    /** Returns whether sums include nearly as many hosts as any in the last window. */
    private boolean isComplete(KnownTotals known) {
        return known.totals().hosts() >= COMPLETE_FRACTION * mostHosts;
    }

    /** Returns when the report was sent, or {@code notKnown} if it is not one of the last. */
    public long sentNanos(long report, long notKnown) {
        SentReport sent = sentReport(report);
        return sent == null ? notKnown : sent.sentNanos();
    }

    private SentReport sentReport(long number) {
        for (SentReport report : sentReports) {
            if (report.sequence() == number) {
                return report;
            }
        }
        return null;
    }

    /** Returns the age of the newest sums in nanoseconds, or the max value if there are none that may be used. */
    public long ageNanos(long nowNanos) {
        KnownTotals known = known(nowNanos);
        return known == null ? Long.MAX_VALUE : nowNanos - known.included().sentNanos();
    }

    /** Returns the share of the host of what remains to a customer, 1 over the listed hosts if it knows no sums. */
    public double shareOf(Customer customer, long nowNanos) {
        KnownTotals known = known(nowNanos);
        CustomerState state = states.get(customer.name());
        return known == null || state == null
                ? 1.0 / listedHosts
                : knownShare(customer, state, known, nowNanos).fraction();
    }

    /** Returns the sums to rely on: of the most hosts, among these the newest; null if all are too old. */
    private KnownTotals known(long nowNanos) {
        KnownTotals best = null;
        for (KnownTotals each : knownBySource.values()) {
            boolean usable = nowNanos - each.included().sentNanos() <= maxAgeNanos;
            if (usable && (best == null || isBetter(each, best))) {
                best = each;
            }
        }
        return best;
    }

    private static boolean isBetter(KnownTotals candidate, KnownTotals other) {
        if (candidate.totals().hosts() != other.totals().hosts()) {
            return candidate.totals().hosts() > other.totals().hosts();
        }
        return candidate.included().sequence() > other.included().sequence();
    }

    private QuotaShare isolatedShare(Customer customer, CustomerState state, long nowNanos) {
        return QuotaShare.isolated(
                terms,
                customer,
                listedHosts,
                grantedInWindow(customer, state, nowNanos),
                state.counts().admittedInWindow());
    }

    /**
     * Returns the admissions in a window that the last complete sums granted, without a limit if they are older than a
     * window. A host that misses the counts of many others must not take their shares before what these admitted has
     * left the window.
     */
    private double grantedInWindow(Customer customer, CustomerState state, long nowNanos) {
        if (lastComplete == null || !isInWindow(lastComplete, nowNanos)) {
            return Double.MAX_VALUE;
        }
        QuotaShare share = knownShare(customer, state, lastComplete, lastComplete.receivedNanos());
        return reported(lastComplete.before(), customer).admittedInWindow() + Math.max(0, share.allowed());
    }

    private boolean isInWindow(KnownTotals known, long nowNanos) {
        return nowNanos - known.included().sentNanos() <= terms.windowNanos() + maxAgeNanos;
    }

    /** Returns the share of a host that knows sums, which are incomplete if many hosts have recently fallen silent. */
    private QuotaShare share(Customer customer, CustomerState state, KnownTotals known, long nowNanos) {
        QuotaShare share = knownShare(customer, state, known, nowNanos);
        if (isComplete(known)) {
            return share;
        }
        double granted = grantedInWindow(customer, state, nowNanos);
        return share.atMost(granted - state.counts().admittedInWindow());
    }

    private QuotaShare knownShare(Customer customer, CustomerState state, KnownTotals known, long nowNanos) {
        ReportedState included = reported(known.included(), customer);
        ReportedState before = reported(known.before(), customer);
        long steps = (nowNanos - known.receivedNanos()) * QuotaCount.STEPS_PER_WINDOW / terms.windowNanos();
        QuotaCount total = known.totals()
                .counts()
                .getOrDefault(customer.name(), QuotaCount.NONE)
                .after(steps);
        long between = Math.max(0, included.admittedInTotal() - before.admittedInTotal());
        long sinceBefore = Math.max(0, state.counts().admittedInTotal() - before.admittedInTotal());
        return QuotaShare.known(
                terms,
                customer,
                new QuotaShare.Hosts(listedHosts, known.totals().hosts()),
                total.withoutNewest((int) between),
                included.arrived(),
                sinceBefore,
                (nowNanos - known.before().sentNanos()) / NANOS_PER_SECOND);
    }

    private static ReportedState reported(SentReport report, Customer customer) {
        return report.states().getOrDefault(customer.name(), ReportedState.NONE);
    }

    private CustomerState state(String customer, long nowNanos) {
        CustomerState state =
                states.computeIfAbsent(customer, name -> new CustomerState(terms.windowNanos(), nowNanos, random));
        state.use(nowNanos);
        return state;
    }

    /** Builds a {@link CustomerQuotas}. */
    public static final class Builder {
        private QuotaTerms terms;
        private long firstReport;
        private RandomGenerator random = new SplittableRandom();

        private Builder() {}

        /** Sets what operators grant in each window. */
        public Builder terms(QuotaTerms granted) {
            terms = granted;
            return this;
        }

        /**
         * Sets the number after which reports are numbered. It must be higher than the numbers of an earlier run of
         * the host, since sums that include a report of that run do not include this run's.
         */
        public Builder firstReport(long number) {
            firstReport = number;
            return this;
        }

        /** Sets the source of the random numbers by which fractions of a request are rounded. */
        public Builder random(RandomGenerator generator) {
            random = Objects.requireNonNull(generator, "generator");
            return this;
        }

        /** Creates quotas without any counts. */
        public CustomerQuotas build() {
            return new CustomerQuotas(this);
        }
    }
}

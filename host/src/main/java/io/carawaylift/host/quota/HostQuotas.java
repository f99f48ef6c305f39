package io.carawaylift.host.quota;

import io.carawaylift.decisions.customer.Customer;
import io.carawaylift.decisions.quota.CustomerQuotas;
import io.carawaylift.decisions.quota.ElapsedClock;
import io.carawaylift.decisions.quota.OwnCounts;
import io.carawaylift.decisions.quota.QuotaExchange;
import io.carawaylift.decisions.quota.QuotaTerms;
import io.carawaylift.decisions.quota.QuotaTotals;
import io.carawaylift.decisions.quota.RelayedCounts;
import io.carawaylift.peer.Message;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Limits the requests of customers and exchanges their counts with other hosts. Sends nothing unless the configuration
 * in force has limited customers. Created by {@link #builder}. Used on the event loop only.
 */
public final class HostQuotas {
    /** Reports that may be missed before counts are no longer used. */
    private static final int MAX_MISSED_REPORTS = 3;

    /** Allowance for the delay of a report; so a host reduces its share before others count it as silent. */
    private static final long REPORT_DELAY_MILLIS = 200;

    private static final long INITIAL_INTERVAL_MILLIS = 400;
    private static final double NANOS_PER_SECOND = 1e9;

    private final String ownRegion;
    private final Supplier<Collection<Customer>> customers;
    private final QuotaMonitor monitor;
    private final ElapsedClock clock;
    private final CustomerQuotas quotas;
    private final RelayedCounts relayed;
    private final QuotaExchange exchange;
    private boolean countsKnown = true;

    private HostQuotas(Builder builder) {
        this.ownRegion = Objects.requireNonNull(builder.ownRegion, "ownRegion");
        this.customers = Objects.requireNonNull(builder.customers, "customers");
        this.monitor = Objects.requireNonNull(builder.monitor, "monitor");
        this.clock = Objects.requireNonNull(builder.clock, "clock");
        QuotaTerms terms = Objects.requireNonNull(builder.terms, "terms");
        this.quotas = CustomerQuotas.builder()
                .terms(terms)
                .firstReport(QuotaExchange.firstReport(builder.startedMillis))
                .build();
        this.relayed = new RelayedCounts(terms.windowNanos());
        this.exchange = new QuotaExchange(Objects.requireNonNull(builder.ownHost, "ownHost"), quotas, relayed);
        setReportInterval(INITIAL_INTERVAL_MILLIS);
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Admits a request of a customer, or returns a permit that is not granted. */
    public QuotaPermit tryAdmit(Optional<Customer> customer) {
        if (customer.isEmpty() || !customer.get().isLimited()) {
            return QuotaPermit.UNLIMITED;
        }
        long now = clock.nanos();
        CustomerQuotas.Admission admission = quotas.tryAdmit(customer.get(), now);
        monitor.decided(customer.get().name(), admission.admitted());
        return new Permit(customer.get(), admission, now);
    }

    /**
     * Sends the own counts and, to hosts that report to this one, the sums.
     *
     * @param listedHosts number of hosts that share the limits
     * @param intervalMillis time until the next call
     */
    public void sendReports(List<PeerTarget> targets, int listedHosts, long intervalMillis) {
        if (customers.get().stream().noneMatch(Customer::isLimited)) {
            return;
        }
        setReportInterval(intervalMillis);
        quotas.setListedHosts(listedHosts);
        long now = clock.nanos();
        boolean alone = targets.stream().noneMatch(target -> target.outgoing() && isOfOwnRegion(target));
        boolean receivesReports = targets.stream().anyMatch(target -> !target.outgoing());
        OwnCounts own = exchange.nextReport(alone || receivesReports, now);
        QuotaTotals region = exchange.totals(true, now);
        QuotaTotals all = exchange.totals(false, now);
        Message report = new Message.QuotaReport(own.report(), own.counts());
        for (PeerTarget target : targets) {
            boolean reports = target.outgoing() && isOfOwnRegion(target);
            target.send().accept(reports ? report : sums(target.host(), isOfOwnRegion(target) ? all : region));
        }
        boolean known = listedHosts == 1 || quotas.ageNanos(now) != Long.MAX_VALUE;
        if (known != countsKnown) {
            countsKnown = known;
            monitor.countsKnown(known);
        }
    }

    private Message sums(String host, QuotaTotals totals) {
        QuotaExchange.Sums sums = exchange.sumsFor(host, totals);
        return new Message.QuotaSums(
                sums.report(),
                sums.includedReport(),
                sums.totals().hosts(),
                sums.totals().counts());
    }

    private boolean isOfOwnRegion(PeerTarget target) {
        return ownRegion.equals(target.region());
    }

    /** Handles a message about quotas; returns false if the message is another one. */
    public boolean received(String host, String region, Message message) {
        if (message instanceof Message.QuotaReport report) {
            exchange.reportReceived(host, report.report(), report.counts(), clock.nanos());
            return true;
        }
        if (message instanceof Message.QuotaSums received) {
            QuotaTotals totals = new QuotaTotals(received.hosts(), received.counts());
            QuotaExchange.Sums sums = new QuotaExchange.Sums(received.report(), received.includedReport(), totals);
            if (ownRegion.equals(region)) {
                exchange.ownRelaySumsReceived(host, sums, clock.nanos());
            } else {
                exchange.regionSumsReceived(region, host, sums, clock.nanos());
            }
            return true;
        }
        return false;
    }

    private void setReportInterval(long intervalMillis) {
        long maxAgeMillis = MAX_MISSED_REPORTS * intervalMillis;
        quotas.setMaxAgeNanos(TimeUnit.MILLISECONDS.toNanos(maxAgeMillis));
        relayed.setMaxAgeNanos(TimeUnit.MILLISECONDS.toNanos(maxAgeMillis + REPORT_DELAY_MILLIS));
    }

    /** Returns the age of the newest counts of all hosts in seconds, infinite if there are none that may be used. */
    public double ageSeconds() {
        long age = quotas.ageNanos(clock.nanos());
        return age == Long.MAX_VALUE ? Double.POSITIVE_INFINITY : age / NANOS_PER_SECOND;
    }

    /** Returns the part of what remains to a customer that this host may admit. */
    public double share(String customer) {
        return customers.get().stream()
                .filter(each -> each.name().equals(customer))
                .findFirst()
                .map(each -> quotas.shareOf(each, clock.nanos()))
                .orElse(0.0);
    }

    private final class Permit implements QuotaPermit {
        private final Customer customer;
        private final CustomerQuotas.Admission admission;
        private long countedNanos;
        private boolean returned;

        Permit(Customer customer, CustomerQuotas.Admission admission, long admittedNanos) {
            this.customer = customer;
            this.admission = admission;
            this.countedNanos = admittedNanos;
        }

        @Override
        public boolean isGranted() {
            return admission.admitted();
        }

        @Override
        public long waitMillis() {
            return admission.waitMillis();
        }

        @Override
        public void sent() {
            long now = clock.nanos();
            quotas.sent(customer, countedNanos, now);
            countedNanos = now;
        }

        @Override
        public void giveBack() {
            if (isGranted() && !returned) {
                returned = true;
                quotas.giveBack(customer, countedNanos, clock.nanos());
            }
        }
    }

    /** Builds a {@link HostQuotas}. */
    public static final class Builder {
        private String ownHost;
        private String ownRegion;
        private QuotaTerms terms;
        private long startedMillis;
        private Supplier<Collection<Customer>> customers;
        private QuotaMonitor monitor;
        private ElapsedClock clock = new ElapsedClock(System::nanoTime, System::currentTimeMillis);

        private Builder() {}

        /** Sets the name and the region of this host. */
        public Builder host(String name, String region) {
            ownHost = name;
            ownRegion = region;
            return this;
        }

        /** Sets what operators grant in each window. */
        public Builder terms(QuotaTerms granted) {
            terms = granted;
            return this;
        }

        /** Sets the Unix time in milliseconds at which the program started. */
        public Builder startedMillis(long millis) {
            startedMillis = millis;
            return this;
        }

        /** Sets where the customers of the configuration in force come from. */
        public Builder customers(Supplier<Collection<Customer>> inForce) {
            customers = inForce;
            return this;
        }

        /** Sets what receives events. */
        public Builder monitor(QuotaMonitor receiver) {
            monitor = receiver;
            return this;
        }

        /** Sets the clock. */
        public Builder clock(ElapsedClock source) {
            clock = source;
            return this;
        }

        /** Creates quotas without counts. */
        public HostQuotas build() {
            return new HostQuotas(this);
        }
    }
}

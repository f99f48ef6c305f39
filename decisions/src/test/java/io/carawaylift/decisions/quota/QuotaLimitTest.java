package io.carawaylift.decisions.quota;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.carawaylift.decisions.customer.Customer;
import io.carawaylift.decisions.quota.QuotaSimulation.Host;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * The limit over all hosts in virtual time. Load: 67 hosts in 6 zones and 3 regions, 76 customers whose rates fall by
 * Zipf 1.2 from a largest one drawn between 1 and 600, burst 1 s of the rate, usual demand 1/1.6 of the rate, each zone's
 * callers varying by 55 % with a period of 36 s; about half of the customers send 6 to 7.5 times as much from 12 s to
 * 17 s. A fault starts within a second of that and lasts for 5 s. The number of seeds is the system property
 * {@code quota.seeds}.
 */
final class QuotaLimitTest {
    private static final int SEEDS = Integer.getInteger("quota.seeds", 3);
    private static final double HOT_FROM = 12;
    private static final double HOT_TO = 17;
    private static final double END = 26;
    private static final double FAULTY_PART = 0.17;

    /** Requests of a customer from which a ratio is significant. */
    private static final int MIN_REQUESTS = 40;

    private long admittedBelowLimit;
    private long arrivedBelowLimit;

    /** Guards against counts whose delay lets a sudden rise through, and against refusals below the limit. */
    @Test
    void theLimitHoldsAndIsUsedWithoutFaults() {
        runAll(1, simulation -> {}, simulation -> {}, true);
    }

    /** Guards against shares that follow a moved customer too slowly or are held at both places. */
    @Test
    void theLimitHoldsAndIsUsedWhileCallersMoveBetweenZones() {
        runAll(
                100,
                simulation -> simulation.moveCallers(4, 1, 0.5 + 0.3 * simulation.random.nextDouble()),
                simulation -> simulation.moveCallers(1, 2, 0.5 + 0.3 * simulation.random.nextDouble()),
                true);
    }

    /** Guards against counts that a lost report leaves out, and against a host that acts as if it were alone. */
    @Test
    void theLimitHoldsAndIsUsedWhileReportsAreLost() {
        runAll(200, simulation -> simulation.lossRate = 0.05, simulation -> simulation.lossRate = 0, true);
    }

    /** Guards against hosts that use the share of those that they can't reach. */
    @Test
    void theLimitHoldsWhileHostsAreCutOff() {
        runAll(
                300,
                simulation -> simulation.randomHosts(FAULTY_PART).forEach(host -> host.cutOff = true),
                simulation -> simulation.hosts.forEach(host -> host.cutOff = false),
                false);
    }

    /** Guards against a frozen host that relies on sums from before and on a clock that stood still. */
    @Test
    void theLimitHoldsWhileHostsAreFrozen() {
        runAll(
                400,
                simulation -> simulation.randomHosts(FAULTY_PART).forEach(Host::freeze),
                simulation -> simulation.hosts.forEach(Host::resume),
                false);
    }

    /** Guards against requests of a killed host that are forgotten while they are in the window. */
    @Test
    void theLimitHoldsWhileHostsAreKilledAndRestarted() {
        List<Host> killed = new ArrayList<>();
        runAll(
                500,
                simulation -> {
                    killed.clear();
                    killed.addAll(simulation.randomHosts(FAULTY_PART));
                    killed.forEach(host -> host.dead = true);
                },
                simulation -> killed.forEach(Host::restart),
                false);
    }

    /** Guards against new relays that know only some of the counts, and against hosts without any. */
    @Test
    void theLimitHoldsWhileAllRelaysAreSilent() {
        runAll(
                600,
                simulation -> simulation.relays().forEach(host -> host.cutOff = true),
                simulation -> simulation.hosts.forEach(host -> host.cutOff = false),
                false);
        runAll(
                700,
                simulation -> simulation.relays().forEach(Host::freeze),
                simulation -> simulation.hosts.forEach(Host::resume),
                false);
    }

    /** Guards against hosts that share the limit among the few that each of them reaches. */
    @Test
    void theLimitHoldsWhileNoHostReachesAnother() {
        runAll(
                800,
                simulation -> simulation.hosts.forEach(host -> host.cutOff = true),
                simulation -> simulation.hosts.forEach(host -> host.cutOff = false),
                false);
    }

    private void runAll(
            long firstSeed,
            Consumer<QuotaSimulation> fault,
            Consumer<QuotaSimulation> recovery,
            boolean servesAllBelowLimit) {
        for (long seed = firstSeed; seed < firstSeed + SEEDS; seed++) {
            run(seed, fault, recovery, servesAllBelowLimit);
        }
        if (servesAllBelowLimit) {
            assertWithMessage("admitted part of the requests below the limits")
                    .that((double) admittedBelowLimit / arrivedBelowLimit)
                    .isAtLeast(0.98);
        }
    }

    private void run(
            long seed,
            Consumer<QuotaSimulation> fault,
            Consumer<QuotaSimulation> recovery,
            boolean servesAllBelowLimit) {
        QuotaSimulation simulation = new QuotaSimulation(seed);
        double factor = 6 + 1.5 * simulation.random.nextDouble();
        List<Customer> hot = new ArrayList<>(simulation.customers);
        hot.removeIf(customer -> simulation.random.nextBoolean());
        double faultFrom = HOT_FROM - 1 + 2 * simulation.random.nextDouble();
        double faultTo = faultFrom + 5;
        simulation.at(seconds(HOT_FROM), () -> hot.forEach(each -> simulation.demandFactors.put(each, factor)));
        simulation.at(seconds(HOT_TO), () -> hot.forEach(each -> simulation.demandFactors.put(each, 1.0)));
        simulation.at(seconds(faultFrom), () -> fault.accept(simulation));
        simulation.at(seconds(faultTo), () -> recovery.accept(simulation));
        simulation.runUntil(END);
        for (Customer customer : simulation.customers) {
            String name = "seed " + seed + ", rate " + customer.requestsPerSecond();
            assertWithMessage("%s: most in a window, as a part of the bound", name)
                    .that(simulation.worstUse(customer))
                    .isAtMost(1.0);
            if (servesAllBelowLimit && hot.contains(customer)) {
                assertUsed(simulation, customer, name);
            } else if (servesAllBelowLimit) {
                assertServed(simulation, customer, name);
            }
        }
    }

    private static void assertUsed(QuotaSimulation simulation, Customer customer, String name) {
        long arrived = QuotaSimulation.countBetween(simulation.arrived.get(customer), HOT_FROM, HOT_TO);
        double entitled = Math.min((double) arrived, QuotaSimulation.TERMS.quota(customer));
        if (entitled >= MIN_REQUESTS) {
            long admitted = QuotaSimulation.countBetween(simulation.admitted.get(customer), HOT_FROM, HOT_TO);
            assertWithMessage("%s: used part of the limit", name)
                    .that(admitted / entitled)
                    .isAtLeast(0.85);
        }
    }

    private void assertServed(QuotaSimulation simulation, Customer customer, String name) {
        long arrived = QuotaSimulation.countBetween(simulation.arrived.get(customer), 0, END);
        long admitted = QuotaSimulation.countBetween(simulation.admitted.get(customer), 0, END);
        admittedBelowLimit += admitted;
        arrivedBelowLimit += arrived;
        if (arrived >= MIN_REQUESTS) {
            assertWithMessage("%s: admitted part below the limit", name)
                    .that((double) admitted / arrived)
                    .isAtLeast(0.9);
        }
    }

    private static long seconds(double seconds) {
        return QuotaSimulation.seconds(seconds);
    }

    /** Guards against a simulation that admits nothing or in which no customer exceeds its limit. */
    @Test
    void theSimulationExceedsTheLimitsIfNothingIsRefused() {
        QuotaSimulation simulation = new QuotaSimulation(1);
        Customer customer = simulation.customers.get(0);
        simulation.demandFactors.put(customer, 7.5);
        simulation.runUntil(10);
        long bound = (long) QuotaSimulation.TERMS.bound(customer);
        assertThat(QuotaSimulation.countBetween(simulation.arrived.get(customer), 4, 9))
                .isGreaterThan(2 * bound);
        assertThat(QuotaSimulation.countBetween(simulation.admitted.get(customer), 4, 9))
                .isGreaterThan(bound / 2);
    }
}

package io.carawaylift.testing.demo;

import io.carawaylift.model.Rank;
import io.carawaylift.testing.caller.Caller;
import io.carawaylift.testing.caller.LoadPart;
import io.carawaylift.testing.caller.OpenLoopLoad;
import io.carawaylift.testing.caller.PartReport;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Runs the steps of the demonstration on one site. Each step with a load verifies the outcome of its recorded calls. */
public final class SiteDemonstration implements AutoCloseable {
    private static final int MAX_CALLS_IN_FLIGHT = 1_000;
    private static final long SETTLE_DELAY_MILLIS = 1_500;
    private static final long READY_TIMEOUT_SECONDS = 60;
    private static final long RECOVERY_TIMEOUT_SECONDS = 60;
    private static final double STEADY_LOAD_FRACTION = 0.5;

    /** Long enough for the command and for the gradual shift of traffic after it. */
    private static final double MIN_EDIT_SECONDS = 20;

    private static final int CLIENTS_PER_DOMAIN = 6;

    private final RunningSite site;
    private final ReportPrinter printer;
    private final double seconds;
    private final long seed;
    private final SiteLoads loads;
    private final Caller caller;
    private final SiteOperations operations;
    private int stepNumber;

    SiteDemonstration(RunningSite site, ReportPrinter printer, double seconds, long seed) {
        this.site = site;
        this.printer = printer;
        this.seconds = seconds;
        this.seed = seed;
        this.loads = new SiteLoads(site.plan());
        this.caller =
                new Caller(site.hosts().stream().map(EntryHost::lookupUrl).toList(), clientAddresses(site.plan()));
        this.operations = new SiteOperations(site);
    }

    /** Action of a step while its load runs; adds its measurements to the facts. */
    interface StepAction {
        /** Does nothing. */
        StepAction NONE = facts -> {};

        void run(Map<String, Object> facts);
    }

    /** Serves a steady load for some minutes, so that an operator can try commands. */
    public void serve(int minutes) {
        site.start(READY_TIMEOUT_SECONDS);
        printer.line("platform at " + site.platform().url() + ", serving for " + minutes + " min");
        step(
                "steady load",
                loads.mixed(STEADY_LOAD_FRACTION),
                (double) TimeUnit.MINUTES.toSeconds(minutes),
                StepAction.NONE);
    }

    /** Runs all steps. A step that throws is reported, and the next one still runs. */
    public void run() {
        long start = System.nanoTime();
        site.start(READY_TIMEOUT_SECONDS);
        printer.line("\n" + site.plan().name() + ": all hosts ready after " + (System.nanoTime() - start) / 1_000_000
                + " ms, files in " + site.directory());
        runStep("warm-up", () -> step("warm-up", loads.mixed(0.3), seconds, StepAction.NONE));
        runStep("steady load", this::steadyLoad);
        runStep("latency of one hop", () -> addFacts("latency of one hop", new HopLatency(site).measure()));
        runStep(
                "table edit",
                () -> step(
                        "table edit that moves traffic",
                        Math.max(MIN_EDIT_SECONDS, seconds * 2),
                        operations::moveTraffic));
        runStep("drain", () -> step("drain of an upstream in the table", seconds, operations::drainUpstream));
        runStep("leaving", () -> step("an upstream listed as leaving", seconds, operations::listAsDraining));
        runStep("kill entry", () -> step("SIGKILL of an entry program", seconds * 2, operations::killEntry));
        awaitRecovery();
        runStep("kill control", () -> step("SIGKILL of a control program", seconds, operations::killControl));
        awaitRecovery();
        runStep("kill lookup", () -> step("SIGKILL of a lookup program", seconds, operations::killLookup));
        runStep("kill host", () -> step("SIGKILL of a whole host", seconds * 2, operations::killHost));
        awaitRecovery();
        runStep("graceful stop", () -> step("graceful stop of a host", seconds * 2, operations::stopHost));
        awaitRecovery();
        runStep("platform down", () -> step("platform down for 20 s", 24, operations::platformDown));
        awaitRecovery();
        runStep("flood deferrable", () -> flood(Rank.DEFERRABLE));
        runStep("flood urgent", () -> flood(Rank.URGENT));
        addFacts("platform calls and unexpected ends", operations.counters());
    }

    @Override
    public void close() {
        caller.close();
        site.close();
    }

    private void steadyLoad() {
        Map<String, Long> before = site.upstreams().runsByUpstream();
        step("steady load", seconds, facts -> {});
        Map<String, Long> after = site.upstreams().runsByUpstream();
        addFacts("shares of the steady load", operations.shares(before, after));
    }

    private void flood(Rank rank) {
        double capacityMultiple = rank == Rank.DEFERRABLE ? 8 : 4;
        List<LoadPart> parts = loads.flood(rank, STEADY_LOAD_FRACTION, capacityMultiple);
        step(
                "flood of " + rank.label() + " work at " + capacityMultiple + " times capacity",
                parts,
                seconds,
                StepAction.NONE);
    }

    private void step(String name, double durationSeconds, StepAction action) {
        step(name, loads.mixed(STEADY_LOAD_FRACTION), durationSeconds, action);
    }

    private void step(String name, List<LoadPart> parts, double durationSeconds, StepAction action) {
        site.upstreams().reset();
        stepNumber++;
        Map<String, Long> before = site.upstreams().runsByUpstream();
        OpenLoopLoad load = new OpenLoopLoad(caller, "s" + stepNumber, parts, seed + stepNumber, MAX_CALLS_IN_FLIGHT);
        RunningLoad running = new RunningLoad(load, durationSeconds);
        Map<String, Object> facts = new LinkedHashMap<>();
        Await.sleep((long) (durationSeconds * 1000 / 4));
        action.run(facts);
        List<PartReport> reports = running.join();
        Await.sleep(SETTLE_DELAY_MILLIS);
        facts.put("useful work", operations.usefulWork(before, site.upstreams().runsByUpstream(), durationSeconds));
        Verdict verdict = Verdict.of(load, site.upstreams());
        printer.add(new StepReport(site.plan().name(), name, reports, verdict, facts));
    }

    private void addFacts(String name, Map<String, Object> facts) {
        printer.add(new StepReport(site.plan().name(), name, List.of(), null, facts));
    }

    /** Waits until the site is ready again, so that each step starts from the same state. */
    private void awaitRecovery() {
        long elapsedMillis = Await.until(RECOVERY_TIMEOUT_SECONDS, site::ready);
        printer.line(
                elapsedMillis < 0
                        ? "  the site had not recovered " + RECOVERY_TIMEOUT_SECONDS + " s after the step"
                        : "  the site had recovered " + elapsedMillis + " ms after the step");
    }

    private void runStep(String name, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            addFacts(name + " FAILED", Map.of("error", e.toString()));
        }
    }

    private static List<String> clientAddresses(SitePlan plan) {
        List<String> addresses = new ArrayList<>();
        for (int client = 1; client <= CLIENTS_PER_DOMAIN; client++) {
            for (int index = 0; index < plan.domains().size(); index++) {
                addresses.add("10." + (index + 1) + ".7." + client);
            }
        }
        return addresses;
    }
}

package io.carawaylift.testing.demo;

import io.carawaylift.model.Rank;
import io.carawaylift.testing.caller.Caller;
import io.carawaylift.testing.caller.Load;
import io.carawaylift.testing.caller.LoadPart;
import io.carawaylift.testing.caller.PartReport;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Measures one site step by step. Every step offers a load and judges all of its calls. */
public final class Demonstration implements AutoCloseable {
    private static final int MAX_CALLS_IN_FLIGHT = 1_000;
    private static final long SETTLE_MS = 1_500;
    private static final long READY_SECONDS = 60;
    private static final long RECOVERY_SECONDS = 60;
    private static final double STEADY = 0.5;

    /** Room for the command and for the shift after it. */
    private static final double EDIT_SECONDS = 20;

    private static final int CLIENTS_PER_DOMAIN = 6;

    private final Fleet fleet;
    private final ReportPrinter printer;
    private final double seconds;
    private final long seed;
    private final SiteLoads loads;
    private final Caller caller;
    private final Operations operations;
    private int stepNumber;

    Demonstration(Fleet fleet, ReportPrinter printer, double seconds, long seed) {
        this.fleet = fleet;
        this.printer = printer;
        this.seconds = seconds;
        this.seed = seed;
        this.loads = new SiteLoads(fleet.plan());
        this.caller =
                new Caller(fleet.hosts().stream().map(EntryHost::lookupUrl).toList(), clients(fleet.plan()));
        this.operations = new Operations(fleet);
    }

    /** What a step does while its load runs; adds what it measures to the facts. */
    interface Event {
        /** An event that does nothing. */
        Event NONE = facts -> {};

        void happen(Map<String, Object> facts);
    }

    /** Serves a steady load for some minutes, for an operator who wants to try commands. */
    public void serve(int minutes) {
        fleet.start(READY_SECONDS);
        printer.line("platform at " + fleet.platform().url() + ", serving for " + minutes + " min");
        step("steady load", loads.mixed(STEADY), (double) TimeUnit.MINUTES.toSeconds(minutes), Event.NONE);
    }

    /** Runs all steps. A step that fails is reported, and the next one is still run. */
    public void run() {
        long start = System.nanoTime();
        fleet.start(READY_SECONDS);
        printer.line("\n" + fleet.plan().name() + ": all hosts ready after " + (System.nanoTime() - start) / 1_000_000
                + " ms, files in " + fleet.directory());
        attempt("warm-up", () -> step("warm-up", loads.mixed(0.3), seconds, Event.NONE));
        attempt("steady load", this::steady);
        attempt("latency of one hop", () -> add("latency of one hop", new HopLatency(fleet).measure()));
        attempt(
                "table edit",
                () -> step(
                        "table edit that moves traffic", Math.max(EDIT_SECONDS, seconds * 2), operations::moveTraffic));
        attempt("drain", () -> step("drain of an upstream in the table", seconds, operations::drainUpstream));
        attempt("leaving", () -> step("an upstream listed as leaving", seconds, operations::listLeaving));
        attempt("kill entry", () -> step("SIGKILL of an entry program", seconds * 2, operations::killEntry));
        recover();
        attempt("kill control", () -> step("SIGKILL of a control program", seconds, operations::killControl));
        recover();
        attempt("kill lookup", () -> step("SIGKILL of a lookup program", seconds, operations::killLookup));
        attempt("kill host", () -> step("SIGKILL of a whole host", seconds * 2, operations::killHost));
        recover();
        attempt("graceful stop", () -> step("graceful stop of a host", seconds * 2, operations::stopHost));
        recover();
        attempt("platform down", () -> step("platform down for 20 s", 24, operations::platformDown));
        recover();
        attempt("flood deferrable", () -> flood(Rank.DEFERRABLE));
        attempt("flood urgent", () -> flood(Rank.URGENT));
        add("platform calls and unexpected ends", operations.account());
    }

    @Override
    public void close() {
        caller.close();
        fleet.close();
    }

    private void steady() {
        Map<String, Long> before = fleet.upstreams().runsByUpstream();
        step("steady load", seconds, facts -> {});
        Map<String, Long> after = fleet.upstreams().runsByUpstream();
        add("shares of the steady load", operations.shares(before, after));
    }

    private void flood(Rank rank) {
        double times = rank == Rank.DEFERRABLE ? 8 : 4;
        List<LoadPart> parts = loads.flood(rank, STEADY, times);
        step("flood of " + rank.label() + " work at " + times + " times capacity", parts, seconds, Event.NONE);
    }

    private void step(String name, double time, Event event) {
        step(name, loads.mixed(STEADY), time, event);
    }

    private void step(String name, List<LoadPart> parts, double time, Event event) {
        fleet.upstreams().reset();
        stepNumber++;
        Map<String, Long> before = fleet.upstreams().runsByUpstream();
        Load load = new Load(caller, "s" + stepNumber, parts, seed + stepNumber, MAX_CALLS_IN_FLIGHT);
        RunningLoad running = new RunningLoad(load, time);
        Map<String, Object> facts = new LinkedHashMap<>();
        Await.sleep((long) (time * 1000 / 4));
        event.happen(facts);
        List<PartReport> reports = running.join();
        Await.sleep(SETTLE_MS);
        facts.put("useful work", operations.usefulWork(before, fleet.upstreams().runsByUpstream(), time));
        Verdict verdict = Verdict.of(load, fleet.upstreams());
        printer.add(new StepReport(fleet.plan().name(), name, reports, verdict, facts));
    }

    private void add(String name, Map<String, Object> facts) {
        printer.add(new StepReport(fleet.plan().name(), name, List.of(), null, facts));
    }

    /** Waits until the site is whole again, so that each step starts alike. */
    private void recover() {
        long took = Await.until(RECOVERY_SECONDS, fleet::ready);
        printer.line(
                took < 0
                        ? "  the site was not whole again " + RECOVERY_SECONDS + " s after the step"
                        : "  the site was whole again " + took + " ms after the step");
    }

    private void attempt(String name, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            add(name + " FAILED", Map.of("error", e.toString()));
        }
    }

    private static List<String> clients(SitePlan plan) {
        List<String> addresses = new ArrayList<>();
        for (int client = 1; client <= CLIENTS_PER_DOMAIN; client++) {
            for (int index = 0; index < plan.domains().size(); index++) {
                addresses.add("10." + (index + 1) + ".7." + client);
            }
        }
        return addresses;
    }
}

package io.carawaylift.testing.demo;

import io.carawaylift.model.RegionRow;
import io.carawaylift.model.Table;
import io.carawaylift.testing.demo.EntryHost.Program;
import io.carawaylift.testing.demo.SitePlan.Domain;
import io.carawaylift.testing.demo.SitePlan.ServicePlan;
import io.carawaylift.testing.upstream.EndpointStatistics;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What the demonstration does to a site, and what it measures while doing so. */
final class Operations {
    private static final long COMMAND_SECONDS = 40;
    private static final long STOP_SECONDS = 60;
    private static final long HOST_LIST_LAG_MS = 4_000;
    private static final long RESTART_AFTER_MS = 2_000;
    private static final int SMALL_WEIGHT = 25;

    private final Fleet fleet;
    private int victim;
    private int commands;

    Operations(Fleet fleet) {
        this.fleet = fleet;
    }

    void moveTraffic(Map<String, Object> facts) {
        String region = fleet.plan().regions().get(0);
        Table table = fleet.platform().table().table();
        Table changed =
                table.toBuilder().put(new RegionRow(region, SMALL_WEIGHT, 0)).build();
        facts.put("edit", "weight of region " + region + " to " + SMALL_WEIGHT);
        facts.put("command", apply(changed));
        Map<String, Long> before = fleet.upstreams().runsByUpstream();
        Await.sleep(3_000);
        shares(before, fleet.upstreams().runsByUpstream()).forEach((name, value) -> {
            if (name.startsWith(fleet.plan().services().get(0).name())) {
                facts.put("3 s after the edit, " + name, value);
            }
        });
    }

    void drainUpstream(Map<String, Object> facts) {
        ServicePlan service = fleet.plan().services().get(0);
        String upstream = fleet.plan().upstream(service, fleet.plan().domains().get(1));
        startDrainClock(upstream);
        facts.put("counted from", "the start of the command, which starts a JVM first");
        facts.put("command", command("drain", upstream, "--wait", "--reason", "demonstration"));
        describeDrain(upstream, facts);
        facts.put("undrain", command("undrain", upstream, "--reason", "demonstration"));
        fleet.upstreams().faults("upstream=" + upstream + "&leaving=false");
    }

    void listLeaving(Map<String, Object> facts) {
        ServicePlan service = fleet.plan().services().get(1);
        Domain domain = fleet.plan().domains().get(2);
        String upstream = fleet.plan().upstream(service, domain);
        startDrainClock(upstream);
        fleet.list(domain, upstream);
        Await.sleep(4_000);
        describeDrain(upstream, facts);
        fleet.list(domain, "");
        fleet.upstreams().faults("upstream=" + upstream + "&leaving=false");
    }

    void killEntry(Map<String, Object> facts) {
        restartAfterKill(nextVictim(), Program.ENTRY, facts);
    }

    void killControl(Map<String, Object> facts) {
        restartAfterKill(nextVictim(), Program.CONTROL, facts);
    }

    void killLookup(Map<String, Object> facts) {
        restartAfterKill(nextVictim(), Program.LOOKUP, facts);
    }

    void killHost(Map<String, Object> facts) {
        EntryHost host = nextVictim();
        host.kill();
        facts.put("killed", host.id() + " in " + host.domain().name());
        Await.sleep(HOST_LIST_LAG_MS);
        fleet.forget(host);
        EntryHost replacement = fleet.addHost(host.domain());
        fleet.startAdded(replacement);
        facts.put("replaced by", replacement.id() + " " + HOST_LIST_LAG_MS + " ms later");
    }

    void stopHost(Map<String, Object> facts) {
        EntryHost host = nextVictim();
        long start = System.nanoTime();
        int exit = host.terminate(Program.ENTRY, STOP_SECONDS);
        facts.put("stopped", host.id() + " in " + host.domain().name());
        facts.put("entry program ended", "exit code " + exit + " after " + millisSince(start) + " ms");
        facts.put("lookup program ended", "exit code " + host.terminate(Program.LOOKUP, STOP_SECONDS));
        facts.put("control program ended", "exit code " + host.terminate(Program.CONTROL, STOP_SECONDS));
        fleet.forget(host);
    }

    void platformDown(Map<String, Object> facts) {
        fleet.platform().faults("mode=refuse");
        Await.sleep(10_000);
        fleet.platform().faults("mode=silent");
        Await.sleep(10_000);
        fleet.platform().faults("mode=up");
        facts.put("down", "10 s refusing connections, then 10 s without answers");
    }

    /** Returns, per upstream, the share that the table wants and the share of the runs between two counts. */
    Map<String, Object> shares(Map<String, Long> before, Map<String, Long> after) {
        Map<String, Object> facts = new TreeMap<>();
        Table table = fleet.platform().table().table();
        for (ServicePlan service : fleet.plan().services()) {
            Map<String, Double> wanted = table.wantedShares(service.name());
            double total = wanted.keySet().stream()
                    .mapToLong(upstream -> difference(before, after, upstream))
                    .sum();
            wanted.forEach((upstream, share) -> facts.put(
                    upstream,
                    "wanted %5.1f %%, measured %5.1f %%"
                            .formatted(100 * share, 100 * difference(before, after, upstream) / Math.max(1, total))));
        }
        return facts;
    }

    /** Returns the slot time used per service relative to its capacity, from the number of runs. */
    Map<String, String> usefulWork(Map<String, Long> before, Map<String, Long> after, double time) {
        Map<String, String> parts = new LinkedHashMap<>();
        for (ServicePlan service : fleet.plan().services()) {
            long runs = 0;
            for (Domain domain : fleet.plan().domains()) {
                runs += difference(before, after, fleet.plan().upstream(service, domain));
            }
            double percent = 100 * runs / (service.capacity() * time);
            parts.put(service.name(), String.format(Locale.ROOT, "%d runs, %.0f %% of capacity", runs, percent));
        }
        return parts;
    }

    Map<String, Object> account() {
        Map<String, Object> facts = new LinkedHashMap<>(fleet.platform().calls());
        facts.put("processes ended unexpectedly", fleet.launcher().endedUnexpectedly());
        return facts;
    }

    private void restartAfterKill(EntryHost host, Program program, Map<String, Object> facts) {
        host.kill(program);
        facts.put("killed", host.processName(program) + " in " + host.domain().name());
        Await.sleep(RESTART_AFTER_MS);
        host.start(program);
        facts.put("restarted", RESTART_AFTER_MS + " ms later");
    }

    /** Spares the first hosts, which are the seeds of the others, for as long as there are others. */
    private EntryHost nextVictim() {
        List<EntryHost> hosts = fleet.hosts();
        victim++;
        return hosts.get(hosts.size() - 1 - victim % (hosts.size() - 2));
    }

    private void startDrainClock(String upstream) {
        fleet.upstreams().faults("upstream=" + upstream + "&leaving=true");
    }

    private void describeDrain(String upstream, Map<String, Object> facts) {
        Await.until(10, () -> drained(upstream));
        long started = 0;
        long last = 0;
        long empty = 0;
        for (EndpointStatistics endpoint : fleet.upstreams().statistics()) {
            if (endpoint.upstream().equals(upstream)) {
                started += endpoint.runsWhileLeaving();
                last = Math.max(last, endpoint.lastRunWhileLeavingMs());
                empty = Math.max(empty, endpoint.leavingInFlightEndMs());
            }
        }
        facts.put("drained upstream", upstream);
        facts.put("requests started after the change", started + ", the last after " + last + " ms");
        facts.put("nothing in flight after", empty + " ms");
    }

    private boolean drained(String upstream) {
        return fleet.upstreams().statistics().stream()
                .filter(endpoint -> endpoint.upstream().equals(upstream))
                .allMatch(endpoint -> endpoint.inFlight() == 0);
    }

    private String apply(Table table) {
        try {
            Path file = fleet.directory().resolve("table-" + System.nanoTime() + ".toml");
            Files.writeString(file, table.toToml());
            return command("apply", file.toString(), "--wait", "--reason", "demonstration");
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write a table file", e);
        }
    }

    /** Runs the operators' command and returns what it printed. */
    private String command(String... arguments) {
        commands++;
        String name = "command-" + commands;
        String[] all = new String[arguments.length + 2];
        all[0] = arguments[0];
        all[1] = "--platform";
        all[2] = fleet.platform().url();
        System.arraycopy(arguments, 1, all, 3, arguments.length - 1);
        fleet.launcher().script(name, "carawaylift", all);
        int exit = fleet.launcher().await(name, COMMAND_SECONDS);
        return "exit code " + exit + ": " + fleet.launcher().output(name);
    }

    private static long difference(Map<String, Long> before, Map<String, Long> after, String upstream) {
        return after.getOrDefault(upstream, 0L) - before.getOrDefault(upstream, 0L);
    }

    private static long millisSince(long start) {
        return (System.nanoTime() - start) / 1_000_000;
    }
}

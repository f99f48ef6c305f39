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

/** Applies the changes and faults of the demonstration to a site and measures their effects. */
final class SiteOperations {
    private static final long COMMAND_TIMEOUT_SECONDS = 40;
    private static final long STOP_TIMEOUT_SECONDS = 60;
    private static final long HOST_LIST_DELAY_MILLIS = 4_000;
    private static final long RESTART_DELAY_MILLIS = 2_000;
    private static final int REDUCED_WEIGHT = 25;

    private final RunningSite site;
    private int victimIndex;
    private int commandCount;

    SiteOperations(RunningSite site) {
        this.site = site;
    }

    void moveTraffic(Map<String, Object> facts) {
        String region = site.plan().regions().get(0);
        Table table = site.platform().table().table();
        Table changed =
                table.toBuilder().put(new RegionRow(region, REDUCED_WEIGHT, 0)).build();
        facts.put("edit", "weight of region " + region + " to " + REDUCED_WEIGHT);
        facts.put("command", apply(changed));
        Map<String, Long> before = site.upstreams().runsByUpstream();
        Await.sleep(3_000);
        shares(before, site.upstreams().runsByUpstream()).forEach((name, value) -> {
            if (name.startsWith(site.plan().services().get(0).name())) {
                facts.put("3 s after the edit, " + name, value);
            }
        });
    }

    void drainUpstream(Map<String, Object> facts) {
        ServicePlan service = site.plan().services().get(0);
        String upstream = site.plan().upstream(service, site.plan().domains().get(1));
        markDraining(upstream);
        facts.put("counted from", "the start of the command, which starts a JVM first");
        facts.put("command", runCommand("drain", upstream, "--wait", "--reason", "demonstration"));
        addDrainFacts(upstream, facts);
        facts.put("undrain", runCommand("undrain", upstream, "--reason", "demonstration"));
        site.upstreams().setFaults("upstream=" + upstream + "&leaving=false");
    }

    void listAsDraining(Map<String, Object> facts) {
        ServicePlan service = site.plan().services().get(1);
        Domain domain = site.plan().domains().get(2);
        String upstream = site.plan().upstream(service, domain);
        markDraining(upstream);
        site.listDomain(domain, upstream);
        Await.sleep(4_000);
        addDrainFacts(upstream, facts);
        site.listDomain(domain, "");
        site.upstreams().setFaults("upstream=" + upstream + "&leaving=false");
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
        Await.sleep(HOST_LIST_DELAY_MILLIS);
        site.unlistHost(host);
        EntryHost replacement = site.addHost(host.domain());
        site.startAddedHost(replacement);
        facts.put("replaced by", replacement.id() + " " + HOST_LIST_DELAY_MILLIS + " ms later");
    }

    void stopHost(Map<String, Object> facts) {
        EntryHost host = nextVictim();
        long start = System.nanoTime();
        int exit = host.terminate(Program.ENTRY, STOP_TIMEOUT_SECONDS);
        facts.put("stopped", host.id() + " in " + host.domain().name());
        facts.put("entry program ended", "exit code " + exit + " after " + elapsedMillis(start) + " ms");
        facts.put("lookup program ended", "exit code " + host.terminate(Program.LOOKUP, STOP_TIMEOUT_SECONDS));
        facts.put("control program ended", "exit code " + host.terminate(Program.CONTROL, STOP_TIMEOUT_SECONDS));
        site.unlistHost(host);
    }

    void platformDown(Map<String, Object> facts) {
        site.platform().setFaults("mode=refuse");
        Await.sleep(10_000);
        site.platform().setFaults("mode=silent");
        Await.sleep(10_000);
        site.platform().setFaults("mode=up");
        facts.put("down", "10 s refusing connections, then 10 s without answers");
    }

    /** Returns, per upstream, the wanted share of the table and the measured share of the runs between two counts. */
    Map<String, Object> shares(Map<String, Long> before, Map<String, Long> after) {
        Map<String, Object> facts = new TreeMap<>();
        Table table = site.platform().table().table();
        for (ServicePlan service : site.plan().services()) {
            Map<String, Double> wantedShares = table.wantedShares(service.name());
            double total = wantedShares.keySet().stream()
                    .mapToLong(upstream -> difference(before, after, upstream))
                    .sum();
            wantedShares.forEach((upstream, share) -> facts.put(
                    upstream,
                    "wanted %5.1f %%, measured %5.1f %%"
                            .formatted(100 * share, 100 * difference(before, after, upstream) / Math.max(1, total))));
        }
        return facts;
    }

    /** Returns the number of runs per service and its fraction of the capacity. */
    Map<String, String> usefulWork(Map<String, Long> before, Map<String, Long> after, double seconds) {
        Map<String, String> workByService = new LinkedHashMap<>();
        for (ServicePlan service : site.plan().services()) {
            long runs = 0;
            for (Domain domain : site.plan().domains()) {
                runs += difference(before, after, site.plan().upstream(service, domain));
            }
            double percent = 100 * runs / (service.capacity() * seconds);
            workByService.put(
                    service.name(), String.format(Locale.ROOT, "%d runs, %.0f %% of capacity", runs, percent));
        }
        return workByService;
    }

    Map<String, Object> counters() {
        Map<String, Object> facts = new LinkedHashMap<>(site.platform().calls());
        facts.put("processes ended unexpectedly", site.launcher().endedUnexpectedly());
        return facts;
    }

    private void restartAfterKill(EntryHost host, Program program, Map<String, Object> facts) {
        host.kill(program);
        facts.put("killed", host.processName(program) + " in " + host.domain().name());
        Await.sleep(RESTART_DELAY_MILLIS);
        host.start(program);
        facts.put("restarted", RESTART_DELAY_MILLIS + " ms later");
    }

    /** Returns the next host to stop. The first two hosts are never chosen, because they are seeds of the others. */
    private EntryHost nextVictim() {
        List<EntryHost> hosts = site.hosts();
        victimIndex++;
        return hosts.get(hosts.size() - 1 - victimIndex % (hosts.size() - 2));
    }

    private void markDraining(String upstream) {
        site.upstreams().setFaults("upstream=" + upstream + "&leaving=true");
    }

    private void addDrainFacts(String upstream, Map<String, Object> facts) {
        Await.until(10, () -> isDrained(upstream));
        long startedRuns = 0;
        long lastRunMs = 0;
        long idleAfterMs = 0;
        for (EndpointStatistics endpoint : site.upstreams().statistics()) {
            if (endpoint.upstream().equals(upstream)) {
                startedRuns += endpoint.runsWhileLeaving();
                lastRunMs = Math.max(lastRunMs, endpoint.lastRunWhileLeavingMs());
                idleAfterMs = Math.max(idleAfterMs, endpoint.leavingInFlightEndMs());
            }
        }
        facts.put("drained upstream", upstream);
        facts.put("requests started after the change", startedRuns + ", the last after " + lastRunMs + " ms");
        facts.put("nothing in flight after", idleAfterMs + " ms");
    }

    private boolean isDrained(String upstream) {
        return site.upstreams().statistics().stream()
                .filter(endpoint -> endpoint.upstream().equals(upstream))
                .allMatch(endpoint -> endpoint.inFlight() == 0);
    }

    private String apply(Table table) {
        try {
            Path file = site.directory().resolve("table-" + System.nanoTime() + ".toml");
            Files.writeString(file, table.toToml());
            return runCommand("apply", file.toString(), "--wait", "--reason", "demonstration");
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write a table file", e);
        }
    }

    /** Runs the operators' command and returns its exit code and output. */
    private String runCommand(String... arguments) {
        commandCount++;
        String name = "command-" + commandCount;
        String[] fullArguments = new String[arguments.length + 2];
        fullArguments[0] = arguments[0];
        fullArguments[1] = "--platform";
        fullArguments[2] = site.platform().url();
        System.arraycopy(arguments, 1, fullArguments, 3, arguments.length - 1);
        site.launcher().script(name, "carawaylift", fullArguments);
        int exit = site.launcher().await(name, COMMAND_TIMEOUT_SECONDS);
        return "exit code " + exit + ": " + site.launcher().output(name);
    }

    private static long difference(Map<String, Long> before, Map<String, Long> after, String upstream) {
        return after.getOrDefault(upstream, 0L) - before.getOrDefault(upstream, 0L);
    }

    private static long elapsedMillis(long start) {
        return (System.nanoTime() - start) / 1_000_000;
    }
}

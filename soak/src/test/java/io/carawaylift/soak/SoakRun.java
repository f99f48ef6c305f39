package io.carawaylift.soak;

import io.carawaylift.soak.FaultPlan.Step;
import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.SimulatedStore;
import io.carawaylift.testing.demo.Await;
import io.carawaylift.testing.demo.Launcher;
import io.carawaylift.testing.demo.PortRange;
import io.carawaylift.testing.proxy.FaultProxy;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One run of four hosts in two regions, two services, a store and callers under the faults of a plan. */
final class SoakRun implements AutoCloseable {
    private static final int CALLERS = 8;
    private static final int PORTS_PER_HOST = 5;
    private static final long READY_TIMEOUT_SECONDS = 30;
    private static final int EVACUATION_MILLIS = 5000;
    private static final int REUSE_DELAY_MILLIS = 2000;
    private static final int REWRITE_DELAY_MILLIS = 500;
    private static final int LINK_DELAY_MILLIS = 80;
    private static final long RECOVERY_MILLIS = 6000;
    private static final int FINAL_REQUESTS = 40;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final int SIGTERM_EXIT_STATUS = 143;
    private static final List<String> ZONES = List.of("a-1", "a-2", "b-1");
    private static final List<String> SERVICES = List.of("calendar", "booking");

    /**
     * The result of a run.
     *
     * @param successes number of requests with status 200
     * @param violations guarantees that were violated, with what was observed
     */
    record Result(long seed, boolean plannedOnly, int requests, long successes, List<String> violations) {}

    private final long seed;
    private final FaultPlan plan;
    private final long faultMillis;
    private final Ledger ledger = new Ledger();
    private final SimulatedStore store = new SimulatedStore();
    private final Launcher launcher;
    private final List<SoakHost> hosts = new ArrayList<>();
    private final List<SoakEndpoint> endpoints = new ArrayList<>();
    private final List<SoakEndpoint> allEndpoints = new ArrayList<>();
    private final Set<String> departedEndpoints = new HashSet<>();
    private final Set<String> evacuatedZones = new HashSet<>();
    private final AtomicInteger endpointNumber = new AtomicInteger();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(4);
    private int version;

    SoakRun(long seed, long faultMillis, Path directory) throws IOException {
        this.seed = seed;
        this.faultMillis = faultMillis;
        this.plan = FaultPlan.of(seed, faultMillis);
        Files.createDirectories(directory);
        launcher = new Launcher(directory, Launcher.workspace());
        List<String> zones = List.of("a-1", "a-2", "b-1", "b-1");
        PortRange ports = PortRange.find(zones.size() * PORTS_PER_HOST);
        for (int i = 0; i < zones.size(); i++) {
            String zone = zones.get(i);
            String region = zone.startsWith("a") ? "region-a" : "region-b";
            hosts.add(new SoakHost("host-" + i, region, zone, store.address(), ports, directory, launcher));
        }
    }

    Result run() throws InterruptedException {
        for (String zone : ZONES) {
            for (String service : SERVICES) {
                addEndpoint(service, zone, 0);
                addEndpoint(service, zone, 0);
            }
        }
        configure();
        hosts.forEach(SoakHost::start);
        if (Await.until(READY_TIMEOUT_SECONDS, () -> hosts.stream().allMatch(SoakHost::isReady)) < 0) {
            ledger.recordViolation("the hosts were not ready after " + READY_TIMEOUT_SECONDS + " s");
        }
        List<SoakCaller> callers = new ArrayList<>();
        ExecutorService threads = Executors.newCachedThreadPool();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(new SoakCaller("c" + i, hosts, ledger, seed * CALLERS + i));
        }
        callers.forEach(threads::execute);
        for (Step step : plan.steps()) {
            schedule(step.atMillis(), () -> inject(step));
        }
        Thread.sleep(faultMillis + RECOVERY_MILLIS);
        callers.forEach(SoakCaller::stop);
        threads.shutdown();
        if (!threads.awaitTermination(READY_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            ledger.recordViolation("a caller did not stop in time");
        }
        checkRecovered();
        return new Result(
                seed, plan.plannedOnly(), ledger.attempts(), ledger.successes(), ledger.violations(plan.plannedOnly()));
    }

    private void checkRecovered() {
        for (int i = 0; i < hosts.size(); i++) {
            if (hosts.get(i).exitedUnexpectedly()) {
                ledger.recordViolation("host " + i + " exited without being stopped");
            } else if (Await.until(1, hosts.get(i)::isReady) < 0) {
                ledger.recordViolation("host " + i + " is not ready after the faults");
            } else if (!servesNewestRoute(i)) {
                ledger.recordViolation("host " + i + " does not have version " + version + " after the faults");
            }
        }
        SoakCaller finalCaller = new SoakCaller("last", hosts, ledger, seed);
        int successes = 0;
        for (int i = 0; i < FINAL_REQUESTS; i++) {
            if (!finalCaller.isConnected()) {
                finalCaller.connect();
            }
            if (finalCaller.isConnected() && finalCaller.request(i % 2 == 0 ? "/safe/" : "/unsafe/") == OK) {
                successes++;
            }
        }
        // Two failures are allowed: one for a connection that stalled unnoticed, one for an endpoint suspected of a
        // fault.
        if (successes < FINAL_REQUESTS - 2) {
            ledger.recordViolation("after the faults " + successes + " of " + FINAL_REQUESTS + " requests succeeded");
        }
    }

    private synchronized boolean servesNewestRoute(int host) {
        String id = "newest-" + host;
        String path = "/new-" + version + "/" + id;
        ledger.recordSent(id, path, false, host);
        try (RawCaller caller = new RawCaller(hosts.get(host).callerAddress())) {
            int status = caller.call("GET", path, id).status();
            ledger.recordOutcome(id, status, "");
            return status != NOT_FOUND;
        } catch (IOException e) {
            ledger.recordOutcome(id, 0, "");
            return false;
        }
    }

    private void inject(Step step) {
        try {
            SoakHost host = hosts.get(step.target() % hosts.size());
            int index = hosts.indexOf(host);
            long durationMillis = step.durationMillis();
            switch (step.fault()) {
                case HOST_TERMINATE -> terminate(host, index);
                case HOST_RELOAD -> host.signal("HUP");
                case CONFIGURE -> configure();
                case EVACUATE -> evacuate(ZONES.get(step.target() % ZONES.size()));
                case ENDPOINT_DRAIN -> drain(selectEndpoint(step));
                case HOST_KILL -> kill(host, index);
                case HOST_PAUSE -> {
                    ledger.recordDisturbance(index, durationMillis);
                    host.signal("STOP");
                    schedule(durationMillis, () -> host.signal("CONT"));
                }
                case STORE_REJECT -> {
                    ledger.recordDisturbance(-1, durationMillis);
                    store.rejectWith(UNAVAILABLE);
                    schedule(durationMillis, () -> store.rejectWith(0));
                }
                case STORE_SILENCE -> {
                    ledger.recordDisturbance(-1, durationMillis);
                    store.silence();
                    schedule(durationMillis, store::endSilence);
                }
                case STORE_RESTORE -> {
                    store.keepCopy();
                    schedule(durationMillis, this::restore);
                }
                case STORE_DISCARD_HISTORY -> store.discardHistory();
                case STORE_LINK_RESET, STORE_LINK_DROP, STORE_LINK_STALL, STORE_LINK_DELAY -> {
                    ledger.recordDisturbance(index, durationMillis);
                    disturbLink(host.storeProxy(), step);
                }
                case ENDPOINT_CRASH -> crash(selectEndpoint(step), false);
                case ENDPOINT_REUSE_ADDRESS -> crash(selectEndpoint(step), true);
                case ENDPOINT_REJECT ->
                    setTemporaryMode(selectEndpoint(step), SoakEndpoint.Mode.REJECT, durationMillis);
                case ENDPOINT_LOSE_RESPONSES ->
                    setTemporaryMode(selectEndpoint(step), SoakEndpoint.Mode.LOSE_RESPONSES, durationMillis);
                case ENDPOINT_TRUNCATE_RESPONSES ->
                    setTemporaryMode(selectEndpoint(step), SoakEndpoint.Mode.TRUNCATE_RESPONSES, durationMillis);
                case ENDPOINT_DUPLICATE_RESPONSES ->
                    setTemporaryMode(selectEndpoint(step), SoakEndpoint.Mode.DUPLICATE_RESPONSES, durationMillis);
                case ENDPOINT_ENDLESS_RESPONSES ->
                    setTemporaryMode(selectEndpoint(step), SoakEndpoint.Mode.ENDLESS_RESPONSES, durationMillis);
                case ENDPOINT_LINK_RESET,
                        ENDPOINT_LINK_DROP,
                        ENDPOINT_LINK_DROP_RESPONSES,
                        ENDPOINT_LINK_STALL,
                        ENDPOINT_LINK_DELAY -> disturbLink(selectEndpoint(step).proxy(), step);
            }
        } catch (IOException e) {
            ledger.recordViolation("the soak itself failed in " + step + ": " + e);
        }
    }

    private void disturbLink(FaultProxy proxy, Step step) {
        switch (step.fault()) {
            case STORE_LINK_RESET, ENDPOINT_LINK_RESET -> proxy.resetConnections();
            case STORE_LINK_DROP, ENDPOINT_LINK_DROP -> proxy.mute();
            case ENDPOINT_LINK_DROP_RESPONSES -> proxy.muteResponses();
            case STORE_LINK_STALL, ENDPOINT_LINK_STALL -> {
                proxy.freeze(true);
                schedule(step.durationMillis(), () -> proxy.freeze(false));
            }
            default -> {
                proxy.pace(LINK_DELAY_MILLIS, 0);
                schedule(step.durationMillis(), () -> proxy.pace(0, 0));
            }
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the task records its own failure
    private void schedule(long delayMillis, Runnable task) {
        scheduler.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        ledger.recordViolation("the soak itself failed: " + e);
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    private void terminate(SoakHost host, int index) {
        synchronized (host) {
            if (host.isRunning()) {
                ledger.recordDisturbance(index, EVACUATION_MILLIS);
                boolean ready = host.isReady();
                int status = host.terminate();
                // Before the program installs its signal handler, the JVM's default handler exits with this status.
                boolean allowed = status == 0 || (!ready && status == SIGTERM_EXIT_STATUS);
                if (!allowed) {
                    ledger.recordViolation(
                            "host %d, ready: %b, ended with status %d after SIGTERM".formatted(index, ready, status));
                }
                host.start();
            }
        }
    }

    private void kill(SoakHost host, int index) {
        synchronized (host) {
            ledger.recordDisturbance(index, EVACUATION_MILLIS);
            host.kill();
            host.start();
        }
    }

    private synchronized void configure() {
        version++;
        StringBuilder rows = new StringBuilder();
        for (String kind : List.of("safe", "unsafe", "download")) {
            String service = kind.equals("unsafe") ? "booking" : "calendar";
            rows.append("[\"%s\",\"a.example\",\"/%s/\",\"%s\",2000,500,1,\"%s\",2,true],"
                    .formatted(kind, kind, kind, service));
        }
        rows.append("[\"new\",\"a.example\",\"/new-%d/\",\"safe\",2000,500,1,\"calendar\",2,true]".formatted(version));
        store.put("config", "main", """
                {"version":%d,"routes":{"columns":["name","host","pathPrefix","kind","timeoutMs","targetLatencyMs",
                "priority","service","maxAttempts","sessionAffinity"],"rows":[%s]},
                "services":{"columns":["name","maxConnections","coldStartS","coldPerS"],
                "rows":[["calendar",100,3,4],["booking",100,3,4]]},
                "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}""".formatted(version, rows));
    }

    private void evacuate(String zone) {
        List<SoakEndpoint> inZone = new ArrayList<>();
        synchronized (this) {
            evacuatedZones.add(zone);
            store.put("evacuations", zone, "{}");
            endpoints.stream().filter(each -> each.zone().equals(zone)).forEach(inZone::add);
        }
        inZone.forEach(each -> ledger.recordDraining(each.id()));
        schedule(EVACUATION_MILLIS, () -> {
            inZone.forEach(each -> ledger.recordReturned(each.id()));
            synchronized (this) {
                evacuatedZones.remove(zone);
                deleteIfListed("evacuations", zone);
            }
        });
    }

    /** Takes the store back to its copy; a moment later its writers write again what they wrote last. */
    private void restore() {
        store.restore();
        schedule(REWRITE_DELAY_MILLIS, () -> {
            configure();
            writeAgain();
        });
    }

    private synchronized void writeAgain() {
        for (String zone : ZONES) {
            if (evacuatedZones.contains(zone)) {
                store.put("evacuations", zone, "{}");
            } else {
                deleteIfListed("evacuations", zone);
            }
        }
        for (SoakEndpoint endpoint : allEndpoints) {
            if (departedEndpoints.contains(endpoint.id())) {
                deleteIfListed("servers", endpoint.id());
            } else {
                endpoint.publishAgain(store);
            }
        }
    }

    private synchronized void depart(SoakEndpoint endpoint) {
        departedEndpoints.add(endpoint.id());
        deleteIfListed("servers", endpoint.id());
    }

    private synchronized void deleteIfListed(String kind, String name) {
        if (store.contains(kind, name)) {
            store.delete(kind, name);
        }
    }

    private void setTemporaryMode(SoakEndpoint endpoint, SoakEndpoint.Mode mode, long durationMillis) {
        endpoint.mode(mode);
        schedule(durationMillis, () -> endpoint.mode(SoakEndpoint.Mode.HEALTHY));
    }

    private synchronized SoakEndpoint selectEndpoint(Step step) {
        return endpoints.get(step.target() % endpoints.size());
    }

    private synchronized SoakEndpoint addEndpoint(String service, String zone, int port) {
        try {
            SoakEndpoint added = new SoakEndpoint("e-" + endpointNumber.incrementAndGet(), service, zone, port, ledger);
            endpoints.add(added);
            allEndpoints.add(added);
            added.publish(store, "ready");
            return added;
        } catch (IOException e) {
            throw new IllegalStateException(
                    "endpoint of %s in zone %s did not start on port %d".formatted(service, zone, port), e);
        }
    }

    /** Replaces an endpoint that drains: it publishes its state and keeps serving until it is removed from the store. */
    private void drain(SoakEndpoint endpoint) {
        synchronized (this) {
            if (!endpoints.remove(endpoint)) {
                return;
            }
        }
        addEndpoint(endpoint.service(), endpoint.zone(), 0);
        endpoint.publish(store, "draining");
        ledger.recordDraining(endpoint.id());
        schedule(EVACUATION_MILLIS, () -> depart(endpoint));
    }

    /** Stops an endpoint abruptly and replaces it; with {@code reuse} an endpoint of the other service gets its address. */
    private void crash(SoakEndpoint endpoint, boolean reuse) throws IOException {
        synchronized (this) {
            if (!endpoints.remove(endpoint)) {
                return;
            }
        }
        int port = endpoint.proxy().port();
        endpoint.close();
        addEndpoint(endpoint.service(), endpoint.zone(), 0);
        schedule(REUSE_DELAY_MILLIS, () -> {
            depart(endpoint);
            if (reuse) {
                String other = SERVICES.get(1 - SERVICES.indexOf(endpoint.service()));
                addEndpoint(other, endpoint.zone(), port);
            }
        });
    }

    @Override
    public void close() throws IOException {
        scheduler.shutdownNow();
        hosts.forEach(SoakHost::close);
        launcher.close();
        for (SoakEndpoint endpoint : allEndpoints) {
            endpoint.close();
        }
        store.close();
    }
}

package io.carawaylift.soak;

import io.carawaylift.soak.FaultPlan.Step;
import io.carawaylift.standin.SimulatedStore;
import io.carawaylift.testing.demo.Await;
import io.carawaylift.testing.demo.Launcher;
import io.carawaylift.testing.demo.PortRange;
import io.carawaylift.testing.proxy.FaultProxy;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One run: four hosts in two regions, two services, a store, callers, and the faults of a plan. */
final class SoakRun implements AutoCloseable {
    private static final int CALLERS = 8;
    private static final int PORTS_PER_HOST = 5;
    private static final long READY_SECONDS = 30;
    private static final int EVACUATION_MILLIS = 5000;
    private static final int REUSE_MILLIS = 2000;
    private static final int DELAY_MILLIS = 80;
    private static final long CALM_MILLIS = 6000;
    private static final int FINAL_REQUESTS = 40;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int ENDED_BY_SIGTERM = 143;
    private static final List<String> ZONES = List.of("a-1", "a-2", "b-1");
    private static final List<String> SERVICES = List.of("calendar", "booking");

    /**
     * How a run ended.
     *
     * @param answered requests that were answered with success
     * @param broken promises that were broken, with what was seen
     */
    record Result(long seed, boolean plannedOnly, int requests, long answered, List<String> broken) {}

    private final long seed;
    private final FaultPlan plan;
    private final long millis;
    private final Ledger ledger = new Ledger();
    private final SimulatedStore store = new SimulatedStore();
    private final Launcher launcher;
    private final List<SoakHost> hosts = new ArrayList<>();
    private final List<SoakEndpoint> endpoints = new ArrayList<>();
    private final List<SoakEndpoint> all = new ArrayList<>();
    private final AtomicInteger names = new AtomicInteger();
    private final ScheduledExecutorService faults = Executors.newScheduledThreadPool(4);
    private int version;

    SoakRun(long seed, long millis, Path directory) throws IOException {
        this.seed = seed;
        this.millis = millis;
        this.plan = FaultPlan.of(seed, millis);
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

    Result play() throws InterruptedException {
        for (String zone : ZONES) {
            for (String service : SERVICES) {
                addEndpoint(service, zone, 0);
                addEndpoint(service, zone, 0);
            }
        }
        configure();
        hosts.forEach(SoakHost::start);
        if (Await.until(READY_SECONDS, () -> hosts.stream().allMatch(SoakHost::isReady)) < 0) {
            ledger.broken("the hosts were not ready after " + READY_SECONDS + " s");
        }
        List<SoakCaller> callers = new ArrayList<>();
        ExecutorService threads = Executors.newCachedThreadPool();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(new SoakCaller("c" + i, hosts, ledger, seed * CALLERS + i));
        }
        callers.forEach(threads::execute);
        for (Step step : plan.steps()) {
            later(step.atMillis(), () -> strike(step));
        }
        Thread.sleep(millis + CALM_MILLIS);
        callers.forEach(SoakCaller::stop);
        threads.shutdown();
        if (!threads.awaitTermination(READY_SECONDS, TimeUnit.SECONDS)) {
            ledger.broken("a caller did not end");
        }
        checkRecovered();
        return new Result(
                seed, plan.plannedOnly(), ledger.attempts(), ledger.answered(), ledger.check(plan.plannedOnly()));
    }

    private void checkRecovered() {
        for (int i = 0; i < hosts.size(); i++) {
            if (hosts.get(i).endedByItself()) {
                ledger.broken("host " + i + " ended by itself");
            } else if (Await.until(1, hosts.get(i)::isReady) < 0) {
                ledger.broken("host " + i + " is not ready after the faults");
            }
        }
        SoakCaller last = new SoakCaller("last", hosts, ledger, seed);
        int answered = 0;
        for (int i = 0; i < FINAL_REQUESTS; i++) {
            if (!last.isConnected()) {
                last.connect();
            }
            if (last.isConnected() && last.request(i % 2 == 0 ? "/safe/" : "/unsafe/") == OK) {
                answered++;
            }
        }
        // One connection may have gone silent unnoticed, and one endpoint may be under suspicion.
        if (answered < FINAL_REQUESTS - 2) {
            ledger.broken("after the faults " + answered + " of " + FINAL_REQUESTS + " requests were answered");
        }
    }

    private void strike(Step step) {
        try {
            SoakHost host = hosts.get(step.target() % hosts.size());
            int index = hosts.indexOf(host);
            long millisLong = step.durationMillis();
            switch (step.fault()) {
                case HOST_TERMINATE -> terminate(host, index);
                case HOST_RELOAD -> host.signal("HUP");
                case CONFIGURE -> configure();
                case EVACUATE -> evacuate(ZONES.get(step.target() % ZONES.size()));
                case ENDPOINT_DRAIN -> drain(endpoint(step));
                case HOST_KILL -> kill(host, index);
                case HOST_PAUSE -> {
                    ledger.disturbed(index, millisLong);
                    host.signal("STOP");
                    later(millisLong, () -> host.signal("CONT"));
                }
                case STORE_REFUSE -> {
                    ledger.disturbed(-1, millisLong);
                    store.refuseWith(UNAVAILABLE);
                    later(millisLong, () -> store.refuseWith(0));
                }
                case STORE_FORGET -> store.forgetHistory();
                case STORE_LINK_RESET, STORE_LINK_MUTE, STORE_LINK_HOLD, STORE_LINK_DELAY -> {
                    ledger.disturbed(index, millisLong);
                    disturb(host.storeProxy(), step);
                }
                case ENDPOINT_CRASH -> crash(endpoint(step), false);
                case ENDPOINT_REUSE -> crash(endpoint(step), true);
                case ENDPOINT_REFUSE -> misbehave(endpoint(step), SoakEndpoint.Mode.REFUSE, millisLong);
                case ENDPOINT_LOSE_ANSWERS -> misbehave(endpoint(step), SoakEndpoint.Mode.LOSE_ANSWERS, millisLong);
                case ENDPOINT_CUT_ANSWERS -> misbehave(endpoint(step), SoakEndpoint.Mode.CUT_ANSWERS, millisLong);
                case ENDPOINT_REPEAT_ANSWERS -> misbehave(endpoint(step), SoakEndpoint.Mode.REPEAT_ANSWERS, millisLong);
                case ENDPOINT_LINK_RESET,
                        ENDPOINT_LINK_MUTE,
                        ENDPOINT_LINK_MUTE_ANSWERS,
                        ENDPOINT_LINK_HOLD,
                        ENDPOINT_LINK_DELAY -> disturb(endpoint(step).proxy(), step);
            }
        } catch (IOException e) {
            ledger.broken("the soak itself failed in " + step + ": " + e);
        }
    }

    private void disturb(FaultProxy proxy, Step step) {
        switch (step.fault()) {
            case STORE_LINK_RESET, ENDPOINT_LINK_RESET -> proxy.resetConnections();
            case STORE_LINK_MUTE, ENDPOINT_LINK_MUTE -> proxy.mute();
            case ENDPOINT_LINK_MUTE_ANSWERS -> proxy.muteResponses();
            case STORE_LINK_HOLD, ENDPOINT_LINK_HOLD -> {
                proxy.freeze(true);
                later(step.durationMillis(), () -> proxy.freeze(false));
            }
            default -> {
                proxy.pace(DELAY_MILLIS, 0);
                later(step.durationMillis(), () -> proxy.pace(0, 0));
            }
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the task notes its own failure
    private void later(long delayMillis, Runnable task) {
        faults.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        ledger.broken("the soak itself failed: " + e);
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    private void terminate(SoakHost host, int index) {
        synchronized (host) {
            if (host.isRunning()) {
                ledger.disturbed(index, EVACUATION_MILLIS);
                boolean ready = host.isReady();
                int status = host.terminate();
                // The Java runtime ends a program that has not installed its own handler yet.
                boolean allowed = status == 0 || (!ready && status == ENDED_BY_SIGTERM);
                if (!allowed) {
                    ledger.broken(
                            "host %d, ready: %b, ended with status %d after SIGTERM".formatted(index, ready, status));
                }
                host.start();
            }
        }
    }

    private void kill(SoakHost host, int index) {
        synchronized (host) {
            ledger.disturbed(index, EVACUATION_MILLIS);
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
        store.put("evacuations", zone, "{}");
        List<SoakEndpoint> inZone = new ArrayList<>();
        synchronized (this) {
            endpoints.stream().filter(each -> each.zone().equals(zone)).forEach(inZone::add);
        }
        inZone.forEach(each -> ledger.leaving(each.id()));
        later(EVACUATION_MILLIS, () -> {
            inZone.forEach(each -> ledger.returned(each.id()));
            if (store.objects("evacuations") > 0) {
                store.delete("evacuations", zone);
            }
        });
    }

    private void misbehave(SoakEndpoint endpoint, SoakEndpoint.Mode mode, long forMillis) {
        endpoint.mode(mode);
        later(forMillis, () -> endpoint.mode(SoakEndpoint.Mode.SOUND));
    }

    private synchronized SoakEndpoint endpoint(Step step) {
        return endpoints.get(step.target() % endpoints.size());
    }

    private synchronized SoakEndpoint addEndpoint(String service, String zone, int port) {
        try {
            SoakEndpoint added = new SoakEndpoint("e-" + names.incrementAndGet(), service, zone, port, ledger);
            endpoints.add(added);
            all.add(added);
            added.list(store, "ready");
            return added;
        } catch (IOException e) {
            throw new IllegalStateException("an endpoint did not start", e);
        }
    }

    /** Replaces an endpoint that says that it leaves and serves on for the time it has to. */
    private void drain(SoakEndpoint endpoint) {
        synchronized (this) {
            if (!endpoints.remove(endpoint)) {
                return;
            }
        }
        addEndpoint(endpoint.service(), endpoint.zone(), 0);
        endpoint.list(store, "draining");
        ledger.leaving(endpoint.id());
        later(EVACUATION_MILLIS, () -> store.delete("servers", endpoint.id()));
    }

    /** Ends an endpoint without notice; its address may go to an endpoint of the other service. */
    private void crash(SoakEndpoint endpoint, boolean reuse) throws IOException {
        synchronized (this) {
            if (!endpoints.remove(endpoint)) {
                return;
            }
        }
        int port = endpoint.proxy().port();
        endpoint.close();
        addEndpoint(endpoint.service(), endpoint.zone(), 0);
        later(REUSE_MILLIS, () -> {
            store.delete("servers", endpoint.id());
            if (reuse) {
                String other = SERVICES.get(1 - SERVICES.indexOf(endpoint.service()));
                addEndpoint(other, endpoint.zone(), port);
            }
        });
    }

    @Override
    public void close() throws IOException {
        faults.shutdownNow();
        hosts.forEach(SoakHost::close);
        launcher.close();
        for (SoakEndpoint endpoint : all) {
            endpoint.close();
        }
        store.close();
    }
}

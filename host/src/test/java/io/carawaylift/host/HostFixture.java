package io.carawaylift.host;

import io.carawaylift.runtime.Settings;
import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.ScriptedEndpoint;
import io.carawaylift.standin.SimulatedStore;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;

/** A host with a simulated store and scripted endpoints, on loopback. */
final class HostFixture implements AutoCloseable {
    private static final long WAIT_NANOS = 15_000_000_000L;

    private final SimulatedStore store;
    private final boolean ownsStore;
    private final String id;
    private final int peerPort;
    private final String limits;
    private final List<ScriptedEndpoint> endpoints = new ArrayList<>();
    private final Set<String> storedEndpoints = new HashSet<>();
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final Path settingsPath = Files.createTempFile("host", ".toml");
    private final HostService host;
    private boolean stopped;

    private final double gracePeriodSeconds;

    HostFixture() throws IOException {
        this(0.2);
    }

    HostFixture(double gracePeriodSeconds) throws IOException {
        this(new SimulatedStore(), true, "host-1", gracePeriodSeconds, 0, "");
    }

    /** Starts a host that shares a store with other hosts. */
    HostFixture(SimulatedStore store, String id) throws IOException {
        this(store, id, 0);
    }

    /** Starts a host that shares a store with other hosts and listens to them on a given port. */
    HostFixture(SimulatedStore store, String id, int peerPort) throws IOException {
        this(store, false, id, 0.2, peerPort, "");
    }

    /** Starts a host that shares a store with other hosts and has further settings of limits. */
    HostFixture(SimulatedStore store, String id, String limits) throws IOException {
        this(store, false, id, 0.2, 0, limits);
    }

    private HostFixture(
            SimulatedStore store, boolean ownsStore, String id, double gracePeriodSeconds, int peerPort, String limits)
            throws IOException {
        this.limits = limits;
        this.peerPort = peerPort == 0 ? freePeerPort() : peerPort;
        this.store = store;
        this.ownsStore = ownsStore;
        this.id = id;
        this.gracePeriodSeconds = gracePeriodSeconds;
        Files.writeString(
                settingsPath, settings(id, this.peerPort, store.address(id), gracePeriodSeconds, 0.2, limits));
        Settings settings = Settings.read(settingsPath);
        EventLog log = new EventLog(id, logOutput);
        host = new HostService(
                HostOptions.of(settings), log, new SettingsFile(settings.path(), settings.source(), log));
        host.start();
    }

    /**
     * Returns a free port below those that the kernel gives to connections. A test that starts a host again at its port
     * failed while connections of other programs used that port.
     */
    private static int freePeerPort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // In use; another one is tried.
            }
        }
    }

    static String settings(String id, int peerPort, String storeAddress, double gracePeriodSeconds, double retryRatio) {
        return settings(id, peerPort, storeAddress, gracePeriodSeconds, retryRatio, "");
    }

    private static String settings(
            String id, int peerPort, String storeAddress, double gracePeriodSeconds, double retryRatio, String limits) {
        return """
                [host]
                id = "%s"
                region = "region-a"
                failure_domain = "zone-a"
                address = "127.0.0.1"
                [listen]
                callers = "127.0.0.1:0"
                readiness = "127.0.0.1:0"
                lookups = "127.0.0.1:0"
                peer_port = %d
                metrics_port = 0
                [platform]
                store = "%s"
                [zones]
                zone-a = "region-a"
                zone-b = "region-b"
                [limits]
                grace_period_s = %s
                retry_ratio = %s
                retry_allowance = 60
                %s
                """.formatted(id, peerPort, storeAddress, gracePeriodSeconds, retryRatio, limits);
    }

    /** Rewrites the settings file while the host runs. */
    void changeRetryRatio(double ratio) throws IOException {
        Files.writeString(settingsPath, settings(id, peerPort, store.address(id), gracePeriodSeconds, ratio, limits));
    }

    /**
     * Stores a configuration with the routes {@code /safe/}, {@code /unsafe/} and {@code /download/} to one service.
     */
    void configure(long version) {
        configure(version, "service", 2000);
    }

    void configure(long version, String service, int timeoutMillis) {
        configure(version, service, timeoutMillis, List.of("safe", "unsafe", "download"));
    }

    /** Stores a configuration with one route for each kind, as {@code /safe/} for {@code safe}. */
    void configure(long version, String service, int timeoutMillis, List<String> kinds) {
        StringBuilder rows = new StringBuilder();
        for (String kind : kinds) {
            rows.append(rows.isEmpty() ? "" : ",")
                    .append("[\"%s\",\"a.example\",\"/%s/\",\"%s\",%d,500,1,\"%s\",2,true]"
                            .formatted("route-" + kind, kind, kind, timeoutMillis, service));
        }
        store.put("config", "main", """
                {"version":%d,"routes":{"columns":["name","host","pathPrefix","kind","timeoutMs","targetLatencyMs",
                "priority","service","maxAttempts","sessionAffinity"],"rows":[%s]},
                "services":{"columns":["name","maxConnections","coldStartS","coldPerS"],"rows":[["service",100,3,4]]},
                "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":700,"idleTimeoutMs":15000}}""".formatted(version, rows));
    }

    /** Starts an endpoint and writes its entry to the store. */
    ScriptedEndpoint addEndpoint(String id) throws IOException {
        ScriptedEndpoint endpoint = new ScriptedEndpoint();
        endpoints.add(endpoint);
        listEndpoint(id, endpoint, "ready");
        return endpoint;
    }

    void listEndpoint(String id, ScriptedEndpoint endpoint, String state) {
        storedEndpoints.add(id);
        store.put("servers", id, """
                {"service":"service","address":"%s","zone":"zone-a","version":"v1","maxConcurrency":4,"state":"%s",
                "coldRemainingMs":0,"sequence":1,"born":1}""".formatted(endpoint.address(), state));
    }

    /** Waits until the host has logged a line that contains all texts. */
    void awaitLine(String... texts) {
        await(() -> hasLine(texts));
    }

    boolean hasLine(String... texts) {
        return log().lines().anyMatch(line -> List.of(texts).stream().allMatch(line::contains));
    }

    String log() {
        return logOutput.toString(StandardCharsets.UTF_8);
    }

    static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + WAIT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new AssertionError("the condition was not met in time");
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    SimulatedStore store() {
        return store;
    }

    int peerPort() {
        return host.peerPort();
    }

    /** Returns a value of the metrics page; {@code series} is its name with labels. */
    double metric(String series) {
        return host.scrapeMetrics()
                .lines()
                .filter(line -> line.startsWith(series + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(series.length() + 1)))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no value of " + series));
    }

    /** Cuts this host off from the store without a reset of its connections. */
    void cutOffFromStore() {
        store.cutOff(id);
    }

    HostService host() {
        return host;
    }

    RawCaller caller() throws IOException {
        return new RawCaller(host.callerAddress());
    }

    int readiness() throws IOException {
        try (RawCaller caller = new RawCaller(host.readinessAddress())) {
            return caller.call("GET", "/v1/readiness", "none").status();
        }
    }

    /** Waits until the host knows every endpoint that was stored; a host may be ready before. */
    void awaitEndpoints() {
        storedEndpoints.forEach(id -> awaitLine("endpoint.listed", "\"endpoint\":\"" + id + "\""));
    }

    /** Waits until the host accepts requests. */
    void awaitReady() {
        await(() -> {
            try {
                return readiness() == 200;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    void stopHost() {
        stopped = true;
        host.stop();
    }

    @Override
    public void close() throws IOException {
        if (!stopped) {
            host.stop();
        }
        for (ScriptedEndpoint endpoint : endpoints) {
            endpoint.close();
        }
        if (ownsStore) {
            store.close();
        }
        Files.deleteIfExists(settingsPath);
    }
}

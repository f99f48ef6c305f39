package io.carawaylift.testing.build;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.carawaylift.standin.RawCaller;
import io.carawaylift.standin.ScriptedEndpoint;
import io.carawaylift.standin.SimulatedStore;
import io.carawaylift.testing.demo.Launcher;
import io.carawaylift.testing.demo.PortRange;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/** Builds the deployed program over output of other sources, starts it as it is deployed, and sends it requests. */
final class DeployBuildIT {
    private static final String PROGRAM = "target/host/carawaylift-host-0.1.0-SNAPSHOT.jar";
    private static final String KEY_CHECK =
            "decisions/src/main/java/io/carawaylift/decisions/customer/Authorization.java";
    private static final int READY_TIMEOUT_MILLIS = 30_000;
    private static final int POLL_INTERVAL_MILLIS = 100;

    private static final String CONFIGURATION = """
            {"version":7,"routes":{"columns":["name","host","pathPrefix","kind","timeoutMs","priority","service",
            "maxAttempts"],"rows":[["keyed","a.example","/keyed/","safe",2000,1,"service",2]]},
            "services":{"columns":["name","maxConnections","coldStartS","coldPerS"],"rows":[["service",100,3,4]]},
            "tenants":{"columns":["name","apiKeys"],"rows":[["acme",["key-a"]]]}}""";

    private static final String ENDPOINT = """
            {"service":"service","address":"%s","zone":"zone-a","version":"v1","maxConcurrency":4,"state":"ready",
            "coldRemainingMs":0,"sequence":1}""";

    private static final String SETTINGS = """
            [host]
            id = "host-1"
            region = "region-a"
            failure_domain = "zone-a"
            address = "127.0.0.1"
            [listen]
            callers = "127.0.0.1:%d"
            readiness = "127.0.0.1:%d"
            lookups = "127.0.0.1:%d"
            peer_port = %d
            metrics_port = %d
            [platform]
            store = "%s"
            [zones]
            zone-a = "region-a"
            [limits]
            strict_revocation = true
            """;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path directory;

    private Workspace workspace;

    @BeforeEach
    void copySources() throws IOException {
        workspace = Workspace.copyOf(Launcher.workspace(), directory.resolve("workspace"));
    }

    /** Guards against a program with older code, which ran requests with keys that no configuration held. */
    @Test
    void theProgramIsThatOfTheSourcesWhateverEarlierBuildsLeft() throws IOException, InterruptedException {
        String sources = workspace.replace(
                KEY_CHECK, "if (publicAccess) {", "if (publicAccess || !customers.all().isEmpty()) {");
        workspace.runSuccessfully("bash", "-c", """
                mvn -B -ntp -q -DskipTests -pl host -am package
                mkdir -p target/host
                cp host/target/carawaylift-host-*.jar host/target/program/*.jar target/host/""");
        workspace.write(KEY_CHECK, sources);

        workspace.runSuccessfully("bash", "deploy/build");

        String revision = workspace.runSuccessfully("bash", "deploy/revision").strip();
        assertThat(revision).startsWith("sources-");
        assertThat(startAndCall()).contains("\"revision\":\"" + revision + "\"");
    }

    /** Guards against a failed build after which the program of an earlier one is run. */
    @Test
    void aFailedBuildLeavesNoProgram() throws IOException, InterruptedException {
        workspace.write(PROGRAM, "program of an earlier build");
        workspace.replace(KEY_CHECK, "if (publicAccess) {", "if (publicAccess {");

        assertThat(workspace.run("bash", "deploy/build")).isNotEqualTo(0);

        assertThat(Files.exists(workspace.path(PROGRAM))).isFalse();
    }

    /** Starts a host before the store has a configuration, and checks its first requests; returns the host's log. */
    private String startAndCall() throws IOException, InterruptedException {
        PortRange ports = PortRange.find(5);
        InetSocketAddress callers = new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.take());
        InetSocketAddress readiness = new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.take());
        Path log = directory.resolve("host.log");
        Path settings = directory.resolve("host.toml");
        try (SimulatedStore store = new SimulatedStore();
                ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
            Files.writeString(
                    settings,
                    SETTINGS.formatted(
                            callers.getPort(),
                            readiness.getPort(),
                            ports.take(),
                            ports.take(),
                            ports.take(),
                            store.address()));
            ProcessBuilder builder = new ProcessBuilder(workspace.hostCommand())
                    .directory(workspace.path("").toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile());
            builder.environment().put("CARAWAYLIFT_BOOT", settings.toString());
            Process host = builder.start();
            try {
                awaitLine(host, log, "\"event\":\"started\"");
                store.put("servers", "e-1", ENDPOINT.formatted(endpoint.address()));
                store.put("config", "main", CONFIGURATION);
                awaitReady(readiness);
                assertThat(call(callers, "key-x")).isEqualTo(401);
                assertThat(endpoint.requests()).isEmpty();
                assertThat(call(callers, "key-a")).isEqualTo(200);
            } finally {
                host.destroyForcibly();
                host.waitFor();
            }
        }
        return Files.readString(log);
    }

    private static int call(InetSocketAddress callers, String key) throws IOException {
        try (RawCaller caller = new RawCaller(callers)) {
            return caller.call("GET", "/keyed/1", "id-" + key, "X-Credential: " + key)
                    .status();
        }
    }

    private static void awaitLine(Process host, Path log, String text) throws IOException, InterruptedException {
        long end = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000L;
        while (!Files.readString(log).contains(text)) {
            assertWithMessage("log without %s: %s", text, Files.readString(log))
                    .that(host.isAlive() && System.nanoTime() < end)
                    .isTrue();
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private static void awaitReady(InetSocketAddress readiness) throws IOException, InterruptedException {
        long end = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000L;
        int status = 0;
        while (status != 200) {
            assertWithMessage("last status of the readiness page: %s", status)
                    .that(System.nanoTime() < end)
                    .isTrue();
            Thread.sleep(POLL_INTERVAL_MILLIS);
            try (RawCaller caller = new RawCaller(readiness)) {
                status = caller.call("GET", "/v1/readiness", "readiness").status();
            }
        }
    }
}

package io.carawaylift.soak;

import io.carawaylift.standin.RawCaller;
import io.carawaylift.testing.demo.Launcher;
import io.carawaylift.testing.demo.PortRange;
import io.carawaylift.testing.proxy.FaultProxy;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A host program in its own process that reaches the store through a proxy. Not thread-safe, except for the addresses. */
final class SoakHost implements AutoCloseable {
    private static final String ADDRESS = "127.0.0.1";
    private static final double GRACE_PERIOD_SECONDS = 6;
    private static final long EXIT_TIMEOUT_SECONDS = 8;
    private static final int READY_STATUS = 200;

    private final String name;
    private final Launcher launcher;
    private final Path settings;
    private final FaultProxy storeProxy;
    private final InetSocketAddress callerAddress;
    private final InetSocketAddress readinessAddress;
    private final InetSocketAddress lookupAddress;
    private boolean running;

    SoakHost(
            String name,
            String region,
            String zone,
            String storeAddress,
            PortRange ports,
            Path directory,
            Launcher launcher)
            throws IOException {
        this.name = name;
        this.launcher = launcher;
        String[] store = storeAddress.split(":", -1);
        storeProxy = new FaultProxy(ADDRESS, 0, new InetSocketAddress(store[0], Integer.parseInt(store[1])));
        storeProxy.start();
        callerAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.take());
        readinessAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.take());
        lookupAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.take());
        settings = directory.resolve(name + ".toml");
        Files.writeString(settings, """
                [host]
                id = "%s"
                region = "%s"
                failure_domain = "%s"
                address = "127.0.0.1"
                [listen]
                callers = "127.0.0.1:%d"
                readiness = "127.0.0.1:%d"
                lookups = "127.0.0.1:%d"
                peer_port = %d
                metrics_port = %d
                [platform]
                store = "127.0.0.1:%d"
                [zones]
                a-1 = "region-a"
                a-2 = "region-a"
                b-1 = "region-b"
                [limits]
                grace_period_s = %s
                retry_allowance = 60
                """.formatted(
                        name,
                        region,
                        zone,
                        callerAddress.getPort(),
                        readinessAddress.getPort(),
                        lookupAddress.getPort(),
                        ports.take(),
                        ports.take(),
                        storeProxy.port(),
                        GRACE_PERIOD_SECONDS));
    }

    InetSocketAddress callerAddress() {
        return callerAddress;
    }

    InetSocketAddress lookupAddress() {
        return lookupAddress;
    }

    FaultProxy storeProxy() {
        return storeProxy;
    }

    void start() {
        Path target = Launcher.workspace().resolve("host/target");
        launcher.command(
                name,
                List.of(
                        "java",
                        "-Xmx96m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        target.resolve("classes") + File.pathSeparator + target.resolve("program") + "/*",
                        "io.carawaylift.host.HostProgram",
                        settings.toString()));
        running = true;
    }

    /** Stops the program with SIGTERM; returns its exit status, or -1 if it did not exit within the timeout. */
    int terminate() {
        running = false;
        return launcher.terminate(name, EXIT_TIMEOUT_SECONDS);
    }

    void kill() {
        if (running) {
            running = false;
            launcher.kill(name);
        }
    }

    /** Sends a signal to the process if it is alive, also while it is stopping. */
    void signal(String signal) {
        Process process = launcher.process(name);
        if (process != null && process.isAlive()) {
            launcher.signal(name, signal);
        }
    }

    boolean isRunning() {
        return running;
    }

    /** Returns whether the program exited without being stopped. */
    boolean exitedUnexpectedly() {
        return running && !launcher.process(name).isAlive();
    }

    boolean isReady() {
        try (RawCaller caller = new RawCaller(readinessAddress)) {
            return caller.call("GET", "/v1/readiness", "none").status() == READY_STATUS;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        kill();
        storeProxy.stop();
    }
}

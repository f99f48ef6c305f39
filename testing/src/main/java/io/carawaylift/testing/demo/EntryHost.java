package io.carawaylift.testing.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** Manages one entry host: its ports, its settings file and its three processes. */
public final class EntryHost {
    /** The three programs of a host, with the names of their scripts. */
    public enum Program {
        CONTROL("carawaylift-control"),
        ENTRY("carawaylift-entry"),
        LOOKUP("carawaylift-lookup");

        private final String script;

        Program(String script) {
            this.script = script;
        }
    }

    private static final String ADDRESS = "127.0.0.1";

    private final Launcher launcher;
    private final String id;
    private final SitePlan.Domain domain;
    private final Path settings;
    private final int controlPort;
    private final int controlAdminPort;
    private final int entryPort;
    private final int entryAdminPort;
    private final int lookupPort;
    private final int lookupAdminPort;

    EntryHost(Launcher launcher, Path directory, String id, SitePlan.Domain domain, PortRange ports) {
        this.launcher = launcher;
        this.id = id;
        this.domain = domain;
        this.settings = directory.resolve(id + ".toml");
        this.controlPort = ports.take();
        this.controlAdminPort = ports.take();
        this.entryPort = ports.take();
        this.entryAdminPort = ports.take();
        this.lookupPort = ports.take();
        this.lookupAdminPort = ports.take();
    }

    /** Returns the host id. */
    public String id() {
        return id;
    }

    /** Returns the failure domain. */
    public SitePlan.Domain domain() {
        return domain;
    }

    /** Returns the base URL of the entry program. */
    public String entryUrl() {
        return "http://" + ADDRESS + ":" + entryPort;
    }

    /** Returns the base URL of the entry program's administration pages. */
    public String entryAdminUrl() {
        return "http://" + ADDRESS + ":" + entryAdminPort;
    }

    /** Returns the base URL of the control program's administration pages. */
    public String controlAdminUrl() {
        return "http://" + ADDRESS + ":" + controlAdminPort;
    }

    /** Returns the base URL of the lookup program. */
    public String lookupUrl() {
        return "http://" + ADDRESS + ":" + lookupPort;
    }

    /** Returns {@code host:port} of the control program. */
    public String controlAddress() {
        return ADDRESS + ":" + controlPort;
    }

    /** Returns the settings file. */
    public Path settings() {
        return settings;
    }

    /** Returns the name of a program's process in the launcher. */
    public String processName(Program program) {
        return id + "-" + program.name().toLowerCase(java.util.Locale.ROOT);
    }

    void writeSettings(String platformUrl, List<String> seeds) {
        String quoted = seeds.stream()
                .filter(seed -> !seed.equals(controlAddress()))
                .map(seed -> '"' + seed + '"')
                .collect(Collectors.joining(", "));
        String text = """
                [host]
                id = "%s"
                region = "%s"
                failure_domain = "%s"
                address = "%s"

                [platform]
                url = "%s"

                [control]
                port = %d
                admin_port = %d
                seeds = [%s]

                [entry]
                port = %d
                admin_port = %d

                [lookup]
                port = %d
                admin_port = %d
                """.formatted(
                        id,
                        domain.region(),
                        domain.name(),
                        ADDRESS,
                        platformUrl,
                        controlPort,
                        controlAdminPort,
                        quoted,
                        entryPort,
                        entryAdminPort,
                        lookupPort,
                        lookupAdminPort);
        try {
            Files.writeString(settings, text);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write settings file " + settings, e);
        }
    }

    /** Starts the three programs. */
    public void start() {
        for (Program program : Program.values()) {
            start(program);
        }
    }

    /** Starts one program. */
    public void start(Program program) {
        launcher.script(processName(program), program.script, settings.toString());
    }

    /** Kills one program with SIGKILL. */
    public void kill(Program program) {
        launcher.kill(processName(program));
    }

    /** Kills the three programs with SIGKILL at nearly the same time, as in a power failure. */
    public void kill() {
        for (Program program : Program.values()) {
            launcher.process(processName(program)).destroyForcibly();
        }
        for (Program program : Program.values()) {
            kill(program);
        }
    }

    /** Stops a program with SIGTERM; returns its exit code, or -1 if it did not exit within the timeout. */
    public int terminate(Program program, long seconds) {
        return launcher.terminate(processName(program), seconds);
    }
}

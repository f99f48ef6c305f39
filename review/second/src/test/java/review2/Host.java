package review2;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The project's program as a process, with the command and the template of the deploy file. Not thread-safe. */
final class Host {
    /** Longer than a start takes on a busy machine. */
    static final long START_MILLIS = 30_000;

    /** Zones and bounds of the deployment. */
    record Deployment(Map<String, String> zones, Map<String, Object> bounds) {
        /** Those of inzira-shoots, from its sheet in SYSTEM.md. */
        static Deployment inziraShoots() {
            Map<String, String> zones = new TreeMap<>();
            for (String zone : List.of("kgl-a", "kgl-b")) {
                zones.put(zone, "kigali");
            }
            for (String zone : List.of("msz-a", "msz-b")) {
                zones.put(zone, "musanze");
            }
            for (String zone : List.of("hye-a", "hye-b")) {
                zones.put(zone, "huye");
            }
            return new Deployment(zones, bounds(2500, 2500, 60));
        }

        /** Those of derwent-desks-grown, from its sheet in demands/LATER.md. */
        static Deployment derwent() {
            Map<String, String> zones = new TreeMap<>();
            for (String zone : List.of("hobart-a", "hobart-b")) {
                zones.put(zone, "tas-south");
            }
            for (String zone : List.of("launceston-a", "launceston-b")) {
                zones.put(zone, "tas-north");
            }
            for (String zone : List.of("docklands-a", "docklands-b")) {
                zones.put(zone, "vic-metro");
            }
            return new Deployment(zones, bounds(3000, 3000, 208));
        }

        /** Those of sofflag-jv-grown, from its sheet in demands/LATER.md. */
        static Deployment sofflag() {
            Map<String, String> zones = new TreeMap<>();
            for (String zone : List.of("sofia-a", "sofia-b")) {
                zones.put(zone, "sofia");
            }
            for (String zone : List.of("plovdiv-a", "plovdiv-b")) {
                zones.put(zone, "plovdiv");
            }
            for (String zone : List.of("varna-a", "varna-b")) {
                zones.put(zone, "varna");
            }
            Map<String, Object> bounds = bounds(3000, 3000, 174);
            bounds.put("strictRevocation", true);
            bounds.put("revocationMs", 5000);
            bounds.put("quotaWindowS", 5);
            bounds.put("quotaOverage", 0.1);
            bounds.put("quotaSlack", 20);
            return new Deployment(zones, bounds);
        }

        private static Map<String, Object> bounds(int drainMillis, int configurationMillis, int retrySlack) {
            Map<String, Object> bounds = new HashMap<>();
            bounds.put("gracePeriodS", 6);
            bounds.put("retryBudgetRatio", 0.2);
            bounds.put("retryBudgetSlack", retrySlack);
            bounds.put("budgetWindowS", 10);
            bounds.put("maxRegionShift", 0.15);
            bounds.put("stabilityWindowMs", 4000);
            bounds.put("configApplyMs", configurationMillis);
            bounds.put("drainTimeoutMs", drainMillis);
            return bounds;
        }
    }

    final String name;
    final InetAddress address;
    private final Set<Integer> ports = new HashSet<>();
    private final Path directory;
    private final Record record;
    private final Path settings;
    private final int callerPort;
    private final int readyPort;
    private Process process;
    private int starts;

    /** Creates a host on a loopback address of its own; {@code number} tells the hosts of a run apart. */
    Host(Record record, Path directory, String name, String zone, int number, String store, Deployment deployment)
            throws IOException {
        this.record = record;
        this.directory = directory;
        this.name = name;
        long seed = ProcessHandle.current().pid();
        this.address = InetAddress.getByName("127." + (10 + seed / 250 % 100) + "." + (1 + seed % 250) + "." + number);
        this.callerPort = freePort();
        this.readyPort = freePort();
        String ip = address.getHostAddress();
        Map<String, Object> fields = new HashMap<>();
        fields.put("nodeName", name);
        fields.put("region", deployment.zones().get(zone));
        fields.put("zone", zone);
        fields.put("ipAddress", ip);
        fields.put("listenAddresses.front", ip + ":" + callerPort);
        fields.put("listenAddresses.ready", ip + ":" + readyPort);
        fields.put("listenAddresses.directory", ip + ":" + freePort());
        fields.put("internalPortRange.0", freePort());
        fields.put("platform.address", store);
        fields.put("limits.cpuShare", 0.6);
        fields.put("limits.cpuCores", 1);
        fields.put("zones", deployment.zones());
        deployment.bounds().forEach((key, value) -> fields.put("bounds." + key, value));
        this.settings = directory.resolve(name + ".toml");
        Files.writeString(settings, Template.fill(Files.readString(Path.of("deploy/host.toml")), fields));
    }

    /** Returns a port of the host's address that is free and was not returned before. */
    private int freePort() throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, address)) {
                if (ports.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            }
        }
    }

    InetSocketAddress callers() {
        return new InetSocketAddress(address, callerPort);
    }

    /** Starts the program with the command of the deploy file, in the root of the repository. */
    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no command in deploy/system.toml");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("CARAWAYLIFT_BOOT", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(directory.resolve(name + "-" + ++starts + ".log").toFile());
        process = builder.start();
        record.line(name + ": started, process " + process.pid());
    }

    boolean isReady() {
        try {
            HttpURLConnection connection = (HttpURLConnection)
                    URI.create("http://" + address.getHostAddress() + ":" + readyPort + "/v1/readiness")
                            .toURL()
                            .openConnection();
            connection.setConnectTimeout(1000);
            connection.setReadTimeout(1000);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the host is ready; returns whether it is. */
    boolean awaitReady(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (isReady()) {
                record.line(name + ": ready");
                return true;
            }
            Thread.sleep(100);
        }
        record.line(name + ": not ready after " + millis + " ms");
        return false;
    }

    void terminate() {
        record.line(name + ": SIGTERM");
        process.destroy();
    }

    /** Returns the lines of the program's log of its last start that contain a text. */
    List<String> logLines(String text) throws IOException {
        try (var lines = Files.lines(directory.resolve(name + "-" + starts + ".log"))) {
            return lines.filter(line -> line.contains(text)).toList();
        }
    }

    /** Returns the lines of the program's logs of all starts that contain a text. */
    List<String> allLogLines(String text) throws IOException {
        List<String> found = new ArrayList<>();
        for (int i = 1; i <= starts; i++) {
            try (var lines = Files.lines(directory.resolve(name + "-" + i + ".log"))) {
                lines.filter(line -> line.contains(text)).forEach(found::add);
            }
        }
        return found;
    }

    /** Waits until the process has ended, and kills it after that time as the platform does. */
    void awaitEnd(long millis) throws InterruptedException {
        if (!process.waitFor(millis, TimeUnit.MILLISECONDS)) {
            kill();
        }
    }

    int exitStatus() {
        return process.exitValue();
    }

    /** Ends the process, if it runs, with SIGKILL. */
    void kill() throws InterruptedException {
        if (process != null && process.isAlive()) {
            record.line(name + ": SIGKILL");
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }
}

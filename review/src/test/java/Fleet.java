import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** The site inzira-shoots: hosts, the store, endpoints and clients, with the figures of its site file. */
final class Fleet {
    static final String CALENDAR = "calendar-svc";
    static final double COLD_PER_SECOND = 3.9;
    static final int COLD_MILLIS = 3000;
    private static final double CONFIG_APPLY_SECONDS = 2.5;
    private static final double STABILITY_SECONDS = 4.0;

    /** The bound of the rule FAILBACK: coldPerS x coldBurstFactor + coldSlack. */
    static final double COLD_BOUND = COLD_PER_SECOND * 1.5 + 5;

    /** Each zone with its region. */
    static final Map<String, String> ZONES = new LinkedHashMap<>();

    static {
        ZONES.put("kgl-a", "kigali");
        ZONES.put("msz-a", "musanze");
        ZONES.put("hye-a", "huye");
        ZONES.put("kgl-b", "kigali");
        ZONES.put("msz-b", "musanze");
        ZONES.put("hye-b", "huye");
    }

    private static final int MAX_PORT = 30_000;

    final Path folder;
    final Record record;
    final Store store;
    final List<Host> hosts = new ArrayList<>();
    final List<Endpoint> endpoints = new ArrayList<>();
    final List<Clients> clients = new ArrayList<>();
    private final int basePort;
    private int addresses;

    Fleet(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new Record(recordFile);
        store = new Store(record);
        basePort = freeBasePort();
        configure(7, "calendar-svc", false);
    }

    /** Writes a configuration; it differs in the service of the route /moved/ and in a route that nobody uses. */
    long configure(int version, String serviceOfMoved, boolean idleRoute) {
        return store.put("config", "main", configuration(version, serviceOfMoved, idleRoute));
    }

    private static String configuration(int version, String serviceOfMoved, boolean idleRoute) {
        return "{\"version\":" + version + ",\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\",\"timeoutMs\","
                + "\"targetLatencyMs\",\"priority\",\"service\",\"maxAttempts\",\"sessionAffinity\",\"homeRegions\","
                + "\"trafficSplit\"],\"rows\":["
                + "[\"r-1\",\"jepu9.example\",\"/calendar/\",\"safe\",1500,600,1,\"calendar-svc\",2,true,[],null],"
                + "[\"r-2\",\"jepu9.example\",\"/booking/\",\"unsafe\",2000,1500,2,\"booking-svc\",2,true,[],null],"
                + "[\"r-4\",\"jepu9.example\",\"/moved/\",\"safe\",1500,600,1,\"" + serviceOfMoved + "\",2,true,[],null],"
                + (idleRoute ? "[\"r-5\",\"jepu9.example\",\"/idle/\",\"safe\",1500,600,1,\"calendar-svc\",2,true,[],null]," : "")
                + "[\"r-3\",\"jepu9.example\",\"/deposit/\",\"unsafe\",1200,500,1,\"media-pay-svc\",2,true,[],null]]},"
                + "\"services\":{\"columns\":[\"name\",\"healthCheckPath\",\"maxConnections\",\"protocol\",\"tls\","
                + "\"coldStartS\",\"coldPerS\"],\"rows\":["
                + "[\"calendar-svc\",\"/health\",360,\"h1\",false,3.0,3.9],"
                + "[\"booking-svc\",\"/health\",360,\"h1\",false,3.0,3.9],"
                + "[\"media-pay-svc\",\"/health\",360,\"h1\",false,3.0,3.9]]},"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
                + "\"idleTimeoutMs\":15000}}";
    }

    /** Returns the first of five consecutive ports that are free on all loopback addresses. */
    private static int freeBasePort() throws IOException {
        for (int base = 21_000 + (int) (ProcessHandle.current().pid() % 800) * 10; base < MAX_PORT; base += 10) {
            try (ServerSocket a = new ServerSocket(base, 1, InetAddress.getByName("0.0.0.0"));
                    ServerSocket b = new ServerSocket(base + 1, 1, InetAddress.getByName("0.0.0.0"));
                    ServerSocket c = new ServerSocket(base + 2, 1, InetAddress.getByName("0.0.0.0"));
                    ServerSocket d = new ServerSocket(base + 3, 1, InetAddress.getByName("0.0.0.0"));
                    ServerSocket e = new ServerSocket(base + 4, 1, InetAddress.getByName("0.0.0.0"))) {
                return base;
            } catch (IOException inUse) {
                continue;
            }
        }
        throw new IOException("no free ports");
    }

    /** Starts a host on the next loopback address. */
    Host startHost(String name, String zone) throws IOException {
        addresses++;
        String address = "127.0." + (1 + addresses / 200) + "." + (1 + addresses % 200);
        record.line("host " + name + " starts at " + address);
        Host host = Host.start(folder, name, ZONES.get(zone), zone, address, basePort, store.listen(name), ZONES);
        hosts.add(host);
        return host;
    }

    Endpoint addEndpoint(String id, String service, String zone, int coldMillis) throws IOException {
        int slots = service.equals(CALENDAR) ? 5 : service.equals("booking-svc") ? 4 : 3;
        double work = service.equals(CALENDAR) ? 880 : service.equals("booking-svc") ? 1160 : 720;
        Endpoint endpoint = new Endpoint(store, record, id, service, zone, slots, work);
        endpoints.add(endpoint);
        endpoint.register(coldMillis);
        return endpoint;
    }

    /** Waits until all hosts are ready. */
    void awaitReady() throws Exception {
        for (int i = 0; i < 150; i++) {
            if (hosts.stream().allMatch(Host::isReady)) {
                return;
            }
            Thread.sleep(200);
        }
        throw new CannotRun("the hosts did not become ready within 30 s");
    }

    /** Starts the endpoints of a zone, as many as in the site file. */
    void addEndpoints(String zone) throws IOException {
        int calendars = zone.startsWith("kgl") ? 1 : zone.startsWith("msz") ? 3 : 4;
        int others = zone.startsWith("kgl") ? 1 : zone.startsWith("msz") ? 2 : 3;
        for (int i = 1; i <= calendars; i++) {
            addEndpoint("i-calendar-" + zone + "-" + i, CALENDAR, zone, 0);
        }
        for (int i = 1; i <= others; i++) {
            addEndpoint("i-booking-" + zone + "-" + i, "booking-svc", zone, 0);
            addEndpoint("i-media-" + zone + "-" + i, "media-pay-svc", zone, 0);
        }
    }

    Endpoint endpoint(String id) {
        return endpoints.stream().filter(each -> each.id.equals(id)).findFirst().orElseThrow();
    }

    /** Starts the clients of some zones; each zone sends this many requests a second of all kinds. */
    void startClients(Collection<String> zones, double perSecond) {
        for (String zone : zones) {
            Clients ofZone = new Clients(record, List.copyOf(hosts), zone, ZONES.get(zone));
            clients.add(ofZone);
            Threads.start(() -> {
                while (true) {
                    ofZone.resolve();
                    Thread.sleep(2000);
                }
            });
            ofZone.start("GET", "/calendar/", perSecond * 4.9 / 8.07, 27, 4000);
            ofZone.start("POST", "/booking/", perSecond * 2.1 / 8.07, 24, 6000);
            ofZone.start("DELETE", "/deposit/", perSecond * 0.49 / 8.07, 24, 4000);
        }
    }

    /** Prints the answers of all clients. */
    void reportAnswers() {
        ConcurrentHashMap<Integer, AtomicInteger> sum = new ConcurrentHashMap<>();
        clients.forEach(each -> each.answers().forEach((status, count) ->
                sum.computeIfAbsent(status, key -> new AtomicInteger()).addAndGet(count.get())));
        record.result("answers by status: " + sum);
    }

    /**
     * Checks the rule FAILBACK for an endpoint; returns whether it was broken. Counted are requests that arrived while
     * the endpoint was cold, and that were sent and arrived within the same second.
     */
    boolean coldBoundBroken(Endpoint endpoint) {
        List<long[]> cold = new ArrayList<>();
        for (Endpoint.Arrival arrival : endpoint.arrivals()) {
            Long sent = null;
            for (Clients each : clients) {
                sent = sent == null ? each.sent(arrival.requestId()) : sent;
            }
            if (arrival.cold() && sent != null) {
                cold.add(new long[] {sent, arrival.nanos()});
            }
        }
        int most = 0;
        double when = 0;
        for (long[] first : cold) {
            int count = 0;
            for (long[] each : cold) {
                count += each[0] >= first[0] && each[1] < first[0] + 1_000_000_000L ? 1 : 0;
            }
            if (count > most) {
                most = count;
                when = record.seconds(first[0]);
            }
        }
        boolean broken = most > COLD_BOUND;
        record.result(String.format(
                Locale.ROOT,
                "%s in %s: %d requests while cold, most in one second %d (from %.3f s), bound %.2f: %s",
                endpoint.id,
                endpoint.zone,
                cold.size(),
                most,
                when,
                COLD_BOUND,
                broken ? "BROKEN" : "kept"));
        return broken;
    }

    /**
     * Checks the rule CONFIG for a route that was moved: returns whether the service of the older version has run a
     * request that was sent later than configApplyMs after the acknowledgement, and later than stabilityWindowMs after
     * the last disruption, so that the machine was in touch.
     */
    boolean oldServiceRuns(String path, String oldService, long acknowledgedNanos, long disruptedNanos) {
        int late = 0;
        int inTouch = 0;
        for (Endpoint endpoint : endpoints) {
            if (!endpoint.service.equals(oldService)) {
                continue;
            }
            for (Endpoint.Arrival arrival : endpoint.arrivals()) {
                for (Clients each : clients) {
                    Long sent = each.sent(arrival.requestId());
                    if (sent == null || !each.sentTo(arrival.requestId()).contains(path)) {
                        continue;
                    }
                    double afterAck = (sent - acknowledgedNanos) / 1e9;
                    double afterDisruption = (sent - disruptedNanos) / 1e9;
                    if (afterAck > CONFIG_APPLY_SECONDS) {
                        late++;
                        if (afterDisruption > STABILITY_SECONDS) {
                            inTouch++;
                            record.result(String.format(
                                    Locale.ROOT,
                                    "%s, sent to %s, %.3f s after the acknowledgement and %.3f s after the last"
                                            + " disruption, was run by %s of the old service",
                                    arrival.requestId(),
                                    each.sentTo(arrival.requestId()),
                                    afterAck,
                                    afterDisruption,
                                    endpoint.id));
                        }
                    }
                }
            }
        }
        record.result("run by the old service later than configApplyMs after the acknowledgement: " + late
                + ", of these by machines in touch: " + inTouch + (inTouch > 0 ? ": BROKEN" : ": kept"));
        return inTouch > 0;
    }

    void stop() throws InterruptedException, IOException {
        clients.forEach(Clients::stop);
        for (Host host : hosts) {
            host.kill();
        }
        record.flush();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    /** The case could not run. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String reason) {
            super(reason);
        }
    }
}

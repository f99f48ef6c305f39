package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The store is away for a moment and comes back from a copy that is some seconds old; what the operator and the endpoints
 * wrote is written again. Then the operator takes a key away.
 */
final class RestoredStoreCase extends Case {
    private static final int REVOCATION_MILLIS = 5000;
    private static final String PREFIX = "/xapu221/ny95/";

    private final Map<String, Integer> statusesAfter = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        new RestoredStoreCase().run(Path.of(args[0]));
    }

    private static Configuration configuration(long version, boolean withKey) {
        Configuration configuration = new Configuration(version)
                .route(PREFIX, "unsafe", 4000, 500, "switchdesk")
                .route("/lepu270/", "safe", 3000, 800, "flagstore")
                .service("switchdesk")
                .service("flagstore")
                .tenant("beta", "key-b");
        return withKey ? configuration.tenant("acme", "key-a") : configuration;
    }

    @Override
    int play() throws Exception {
        Store store = new Store(record, true);
        store.put("config", "main", configuration(7, true).json());
        List<Endpoint> desks = new ArrayList<>();
        for (String zone : List.of("sofia-a", "sofia-b")) {
            Endpoint endpoint = new Endpoint(record, "d-" + desks.size(), "switchdesk", zone, 9, 100, 400);
            desks.add(endpoint);
            store.put("servers", endpoint.id, endpoint.entry("ready", 1));
        }
        List<Endpoint> flags = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Endpoint endpoint = new Endpoint(record, "f-" + i, "flagstore", "sofia-a", 9, 100, 400);
            flags.add(endpoint);
            if (i < 2) {
                store.put("servers", endpoint.id, endpoint.entry("ready", 1));
            }
        }
        Host.Deployment site = Host.Deployment.sofflag();
        hosts.add(new Host(record, directory, "front-sofia-a-1", "sofia-a", 1, store.address(), site));
        hosts.add(new Host(record, directory, "front-sofia-b-1", "sofia-b", 2, store.address(), site));
        for (Host host : hosts) {
            host.start();
        }
        for (Host host : hosts) {
            if (!host.awaitReady(Host.START_MILLIS)) {
                return NOT_RUN;
            }
        }
        Thread.sleep(4500);
        store.keepCopy();
        Thread.sleep(500);

        // A release of the other service: two new endpoints replace two, which drain and leave. Then a new configuration.
        for (int i = 0; i < 2; i++) {
            store.put("servers", "f-" + (i + 2), flags.get(i + 2).entry("ready", 1));
            store.put("servers", "f-" + i, flags.get(i).entry("draining", 2));
        }
        Thread.sleep(3200);
        store.delete("servers", "f-0");
        store.delete("servers", "f-1");
        store.put("config", "main", configuration(8, true).json());
        Thread.sleep(1000);
        if (trouble) {
            store.goAway();
            Thread.sleep(1000);
            store.restore();
            // What was written is written again.
            store.put("config", "main", configuration(8, true).json());
            store.put("servers", "f-2", flags.get(2).entry("ready", 1));
            store.put("servers", "f-3", flags.get(3).entry("ready", 1));
            // Entries of endpoints that have left lapse.
            store.delete("servers", "f-0");
            store.delete("servers", "f-1");
        }
        // Longer than stabilityWindowMs.
        Thread.sleep(6000);

        callAll("before the key is taken away", "key-a");
        store.put("config", "main", configuration(9, false).json());
        long acknowledged = System.nanoTime();
        record.line("version 9, without key-a, acknowledged");
        Thread.sleep(REVOCATION_MILLIS + 500);
        long late = 0;
        for (int round = 0; round < 6; round++) {
            for (String id : callAll(
                    "sent " + (System.nanoTime() - acknowledged) / 1_000_000 + " ms after the acknowledgement", "key-a")) {
                late += desks.stream()
                        .flatMap(desk -> desk.runs().stream())
                        .filter(run -> run.requestId().equals(id))
                        .count();
            }
            Thread.sleep(1000);
        }
        record.result("CONFIG: " + late + " of 12 requests with the key that was taken away, sent later than "
                + REVOCATION_MILLIS + " ms after the acknowledgement, ran");
        for (Host host : hosts) {
            for (String line : host.logLines("configuration.in_force")) {
                record.line(line);
            }
        }
        return late > 0 ? BROKEN : HELD;
    }

    /** Sends a request to each host; returns their ids. */
    private List<String> callAll(String when, String key) {
        List<String> ids = new ArrayList<>();
        for (Host host : hosts) {
            try (Caller caller = new Caller(host.callers())) {
                Caller.Call call =
                        caller.call("POST", PREFIX + "switch", 4000, "X-Credential: " + key + "\r\n", "off");
                record.line(when + ": " + call.id() + " to " + host.name + " -> " + call.status() + " " + call.error());
                ids.add(call.id());
            }
        }
        return ids;
    }
}

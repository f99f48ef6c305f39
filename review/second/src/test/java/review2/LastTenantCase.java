package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The operator takes the keys of all tenants away by removing the last tenant from the configuration. */
final class LastTenantCase extends Case {
    private static final int REVOCATION_MILLIS = 5000;
    private static final String PREFIX = "/xapu221/ny95/";

    private Endpoint endpoint;

    public static void main(String[] args) throws Exception {
        new LastTenantCase().run(Path.of(args[0]));
    }

    private static Configuration configuration(long version) {
        return new Configuration(version)
                .withTenants()
                .route(PREFIX, "unsafe", 4000, 500, "switchdesk")
                .service("switchdesk");
    }

    @Override
    int play() throws Exception {
        Store store = new Store(record, false);
        store.put("config", "main", configuration(7).tenant("acme", "key-a").json());
        endpoint = new Endpoint(record, "d-0", "switchdesk", "sofia-a", 9, 100, 400);
        store.put("servers", endpoint.id, endpoint.entry("ready", 1));
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
        int unknownBefore = run("before", "key-x");
        int served = run("before", "key-a");
        if (served < hosts.size() || unknownBefore > 0) {
            record.result("unexpected before the change: " + served + " requests with the key and " + unknownBefore
                    + " with an unknown key ran");
            return NOT_RUN;
        }
        Configuration next = configuration(8);
        store.put("config", "main", (trouble ? next : next.tenant("beta", "key-b")).json());
        long acknowledged = System.nanoTime();
        record.line("version 8, without acme and key-a, acknowledged");
        Thread.sleep(REVOCATION_MILLIS + 500);
        int late = 0;
        int unknown = 0;
        for (int round = 0; round < 5; round++) {
            String when = "sent " + (System.nanoTime() - acknowledged) / 1_000_000 + " ms after the acknowledgement";
            late += run(when, "key-a");
            unknown += run(when, "key-x");
            Thread.sleep(500);
        }
        record.result("CONFIG: " + late + " of 10 requests with the key that was taken away, sent later than "
                + REVOCATION_MILLIS + " ms after the acknowledgement, ran");
        record.result("ROUTE: " + unknown + " of 10 requests with a key that no configuration ever held ran");
        return late > 0 || unknown > 0 ? BROKEN : HELD;
    }

    /** Sends a request with a key to each host; returns how many ran. */
    private int run(String when, String key) {
        List<String> ids = new ArrayList<>();
        for (Host host : hosts) {
            try (Caller caller = new Caller(host.callers())) {
                Caller.Call call =
                        caller.call("POST", PREFIX + "switch", 4000, "X-Credential: " + key + "\r\n", "off");
                record.line(when + ": " + call.id() + " with " + key + " to " + host.name + " -> " + call.status());
                ids.add(call.id());
            }
        }
        return (int) endpoint.runs().stream()
                .filter(each -> ids.contains(each.requestId()))
                .count();
    }
}

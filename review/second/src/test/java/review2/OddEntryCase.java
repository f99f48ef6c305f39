package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An entry of another writer among those of the endpoints contains bytes that cannot be read. Then an endpoint drains and
 * ends as planned, and all hosts are killed and started again.
 */
final class OddEntryCase extends Case {
    private static final int DRAIN_MILLIS = 2500;
    private static final int EXTRA_MILLIS = 3000;
    private static final int RECOVERY_MILLIS = 15_000;
    private static final int VALUES = 256;
    private static final int CALLERS = 9;

    private final List<Caller.Call> calls = new CopyOnWriteArrayList<>();
    private final Map<String, Boolean> stop = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        new OddEntryCase().run(Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        Store store = new Store(record, false);
        store.put("config", "main", new Configuration(7)
                .route("/xapu221/ny95/", "unsafe", 2000, 1500, "booking-svc")
                .service("booking-svc")
                .json());
        List<Endpoint> endpoints = new ArrayList<>();
        for (String zone : List.of("kgl-a", "kgl-b", "kgl-b")) {
            Endpoint endpoint = new Endpoint(record, "i-" + endpoints.size(), "booking-svc", zone, 4, 700, 400);
            endpoints.add(endpoint);
            store.put("servers", endpoint.id, endpoint.entry("ready", 1));
        }
        Host.Deployment site = Host.Deployment.inziraShoots();
        hosts.add(new Host(record, directory, "front-kgl-a-1", "kgl-a", 1, store.address(), site));
        hosts.add(new Host(record, directory, "front-kgl-b-1", "kgl-b", 2, store.address(), site));
        for (Host host : hosts) {
            host.start();
        }
        for (Host host : hosts) {
            if (!host.awaitReady(Host.START_MILLIS)) {
                return NOT_RUN;
            }
        }
        startCallers();
        Thread.sleep(5000);
        if (trouble) {
            // What a program writes that encodes missing measurements as NaN, as several JSON libraries do.
            store.put(
                    "servers",
                    "other-writer",
                    "{\"service\":\"metrics\",\"history\":[" + String.join(",", Collections.nCopies(VALUES, "NaN"))
                            + "]}");
        }
        // Longer than stabilityWindowMs.
        Thread.sleep(5000);

        Endpoint leaving = endpoints.get(0);
        store.put("servers", leaving.id, leaving.entry("draining", 2));
        long acknowledged = System.nanoTime();
        record.line(leaving.id + ": draining acknowledged");
        leaving.leave();
        Thread.sleep(DRAIN_MILLIS + EXTRA_MILLIS);
        store.delete("servers", leaving.id);
        leaving.end();
        Thread.sleep(4000);
        stop.put("now", true);
        Thread.sleep(2500);
        int late = late(leaving, acknowledged);
        int lost = lost(leaving);
        record.result("DRAIN: " + late + " requests, sent later than " + DRAIN_MILLIS + " ms after the acknowledgement, ran at "
                + leaving.id);
        record.result("requests that " + leaving.id + " had accepted and that ended without its answer: " + lost);

        for (Host host : hosts) {
            host.kill();
        }
        for (Host host : hosts) {
            host.start();
        }
        Thread.sleep(RECOVERY_MILLIS);
        int served = 0;
        for (int i = 0; i < 5; i++) {
            for (Host host : hosts) {
                try (Caller caller = new Caller(host.callers())) {
                    Caller.Call call = caller.call("POST", "/xapu221/ny95/r" + i, 6000, "", "x");
                    record.line("after the restart: " + call.id() + " to " + host.name + " -> " + call.status());
                    served += call.status() == 200 ? 1 : 0;
                }
            }
        }
        record.result("RECOVER: " + served + " of 10 requests sent later than " + RECOVERY_MILLIS
                + " ms after the restart of all hosts were served");
        for (Host host : hosts) {
            List<String> lines = host.logLines("dependency.lost");
            record.line(host.name + ": " + (lines.isEmpty() ? "" : lines.get(0)));
        }
        return late > 0 || served < 3 ? BROKEN : HELD;
    }

    private void startCallers() {
        for (int i = 0; i < CALLERS; i++) {
            Host host = hosts.get(i % hosts.size());
            int number = i;
            Thread thread = new Thread(() -> {
                try (Caller caller = new Caller(host.callers())) {
                    for (int n = 0; stop.isEmpty(); n++) {
                        Caller.Call call = caller.call("POST", "/xapu221/ny95/" + number + "-" + n, 6000, "", "x");
                        record.line("client " + number + ": " + call.id() + " to " + host.name + " -> " + call.status() + " "
                                + call.error());
                        calls.add(call);
                        Thread.sleep(call.status() == 200 ? 20 : 200);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            thread.setDaemon(true);
            thread.start();
        }
    }

    private int late(Endpoint endpoint, long acknowledged) {
        int count = 0;
        for (Endpoint.Run run : endpoint.runs()) {
            for (Caller.Call call : calls) {
                if (call.id().equals(run.requestId())
                        && call.sentNanos() - acknowledged > DRAIN_MILLIS * 1_000_000L) {
                    record.line("late at " + endpoint.id + ": " + call.id() + ", sent "
                            + (call.sentNanos() - acknowledged) / 1_000_000 + " ms after the acknowledgement");
                    count++;
                }
            }
        }
        return count;
    }

    private int lost(Endpoint endpoint) {
        int count = 0;
        for (Endpoint.Run run : endpoint.runs()) {
            count += run.answered()[0] ? 0 : 1;
        }
        return count;
    }
}

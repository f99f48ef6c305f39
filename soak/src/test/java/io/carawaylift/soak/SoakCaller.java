package io.carawaylift.soak;

import io.carawaylift.standin.RawCaller;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * A caller that connects to a host from a lookup, sends requests until the host closes the connection or a fixed number is
 * reached, and checks every response. Only {@link #stop} may be called from another thread while it runs.
 */
final class SoakCaller implements Runnable {
    private static final List<String> PATHS = List.of("/safe/", "/unsafe/", "/unsafe/", "/download/");
    private static final int MIN_PAUSE_MILLIS = 5;
    private static final int MAX_PAUSE_MILLIS = 40;
    private static final int OK = 200;

    /** Number of requests after which a caller makes a new lookup although its connection is open. */
    private static final int REQUESTS_PER_CONNECTION = 60;

    private final String name;
    private final List<SoakHost> hosts;
    private final Ledger ledger;
    private final SplittableRandom random;
    private volatile boolean stopped;
    private RawCaller connection;
    private int host;
    private int sentOnConnection;
    private int sent;

    SoakCaller(String name, List<SoakHost> hosts, Ledger ledger, long seed) {
        this.name = name;
        this.hosts = hosts;
        this.ledger = ledger;
        this.random = new SplittableRandom(seed);
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        while (!stopped) {
            try {
                Thread.sleep(random.nextInt(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
                if (connection == null || sentOnConnection > REQUESTS_PER_CONNECTION) {
                    connect();
                }
                if (connection != null) {
                    request(PATHS.get(random.nextInt(PATHS.size())));
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        disconnect();
    }

    /** Sends one request on the current connection and returns the status, 0 if there was no response. */
    int request(String prefix) {
        String id = name + "-" + sent++;
        String path = prefix + id;
        boolean unsafe = prefix.equals("/unsafe/");
        sentOnConnection++;
        ledger.recordSent(id, path, unsafe, host);
        try {
            connection.send(
                    unsafe ? "POST" : "GET", path, id, unsafe ? "content" : "", "X-Affinity-Key: " + id.hashCode() % 7);
            RawCaller.Response response = connection.read();
            ledger.recordOutcome(id, response.status(), problem(id, path, response));
            if (response.status() == 0 || "close".equals(response.header("Connection"))) {
                disconnect();
            }
            return response.status();
        } catch (java.net.SocketTimeoutException e) {
            ledger.recordOutcome(id, 0, "host " + host + " sent nothing for 10 s");
            disconnect();
        } catch (IOException e) {
            // The host or a fault closed the connection; the ledger decides whether that was allowed.
            ledger.recordOutcome(id, 0, "");
            disconnect();
        }
        return 0;
    }

    private static String problem(String id, String path, RawCaller.Response response) {
        if (response.status() != OK) {
            return "";
        }
        if (!id.equals(response.header("X-Request-Id"))) {
            return "got the response to " + response.header("X-Request-Id");
        }
        if (response.header("X-Response-Signature") == null) {
            return "got a successful response without a signature";
        }
        // A truncated response closes the connection and is no success for the caller, so its body is not checked.
        boolean bodyMatches = response.body().equals(SoakEndpoint.body(id, path));
        return response.complete() && !bodyMatches
                ? "got a wrong body of " + response.body().length() + " characters"
                : "";
    }

    /** Connects to a host from a lookup at a random host; stays disconnected if that fails. */
    void connect() {
        disconnect();
        Map<Integer, Integer> byPort = hosts.stream()
                .collect(Collectors.toMap(each -> each.callerAddress().getPort(), hosts::indexOf));
        SoakHost lookupHost = hosts.get(random.nextInt(hosts.size()));
        try (RawCaller lookup = new RawCaller(lookupHost.lookupAddress())) {
            RawCaller.Response response = lookup.call("GET", "/v1/resolve?name=a.example&region=region-a", "none");
            if (response.status() != OK) {
                return;
            }
            String[] addresses =
                    response.body().replaceAll(".*\\[|\\].*|\"", "").split(",", -1);
            String[] chosen = addresses[random.nextInt(addresses.length)].split(":", -1);
            host = byPort.get(Integer.parseInt(chosen[1]));
            connection = new RawCaller(new InetSocketAddress(chosen[0], Integer.parseInt(chosen[1])));
            sentOnConnection = 0;
        } catch (IOException e) {
            // The next attempt picks a random host again.
            disconnect();
        }
    }

    boolean isConnected() {
        return connection != null;
    }

    private void disconnect() {
        if (connection != null) {
            try {
                connection.close();
            } catch (IOException e) {
                ledger.recordViolation("closing a caller's socket failed: " + e);
            }
            connection = null;
        }
    }
}

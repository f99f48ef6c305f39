package io.carawaylift.soak;

import io.carawaylift.standin.RawCaller;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * One caller: asks a host where to connect, keeps its connection for many requests and as long as the host does, and checks
 * every answer.
 */
final class SoakCaller implements Runnable {
    private static final List<String> PATHS = List.of("/safe/", "/unsafe/", "/unsafe/", "/download/");
    private static final int LEAST_PAUSE_MILLIS = 5;
    private static final int MOST_PAUSE_MILLIS = 40;
    private static final int OK = 200;

    /** Requests after which a caller looks for another host although its connection is open. */
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
                Thread.sleep(random.nextInt(LEAST_PAUSE_MILLIS, MOST_PAUSE_MILLIS));
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

    /** Sends one request on the present connection and returns the status, 0 if there was no answer. */
    int request(String prefix) {
        String id = name + "-" + sent++;
        String path = prefix + id;
        boolean unsafe = prefix.equals("/unsafe/");
        sentOnConnection++;
        ledger.sending(id, path, unsafe, host);
        try {
            connection.send(
                    unsafe ? "POST" : "GET", path, id, unsafe ? "content" : "", "X-Affinity-Key: " + id.hashCode() % 7);
            RawCaller.Answer answer = connection.read();
            ledger.ended(id, answer.status(), wrong(id, path, answer));
            if (answer.status() == 0 || "close".equals(answer.header("Connection"))) {
                disconnect();
            }
            return answer.status();
        } catch (java.net.SocketTimeoutException e) {
            ledger.ended(id, 0, "host " + host + " held it for ten seconds");
            disconnect();
        } catch (IOException e) {
            // The host or the fault ended the connection; the ledger decides whether it was allowed to.
            ledger.ended(id, 0, "");
            disconnect();
        }
        return 0;
    }

    private static String wrong(String id, String path, RawCaller.Answer answer) {
        if (answer.status() != OK) {
            return "";
        }
        if (!id.equals(answer.header("X-Request-Id"))) {
            return "got the answer to " + answer.header("X-Request-Id");
        }
        if (answer.header("X-Response-Signature") == null) {
            return "got a success without a signature";
        }
        // An answer that ends early ends the connection and is no success.
        boolean whole = answer.body().equals(SoakEndpoint.body(id, path));
        return answer.complete() && !whole ? "got a body of " + answer.body().length() + " other characters" : "";
    }

    /** Connects to a host that a look-up names. */
    void connect() {
        disconnect();
        Map<Integer, Integer> byPort =
                hosts.stream().collect(Collectors.toMap(each -> each.callers().getPort(), hosts::indexOf));
        SoakHost asked = hosts.get(random.nextInt(hosts.size()));
        try (RawCaller lookup = new RawCaller(asked.lookups())) {
            RawCaller.Answer answer = lookup.call("GET", "/v1/resolve?name=a.example&region=region-a", "none");
            if (answer.status() != OK) {
                return;
            }
            String[] addresses = answer.body().replaceAll(".*\\[|\\].*|\"", "").split(",", -1);
            String[] chosen = addresses[random.nextInt(addresses.length)].split(":", -1);
            host = byPort.get(Integer.parseInt(chosen[1]));
            connection = new RawCaller(new InetSocketAddress(chosen[0], Integer.parseInt(chosen[1])));
            sentOnConnection = 0;
        } catch (IOException e) {
            // Another host is asked in the next round.
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
                ledger.broken("a caller's socket did not close: " + e);
            }
            connection = null;
        }
    }
}

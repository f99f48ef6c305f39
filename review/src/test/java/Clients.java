import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Clients of one zone: an even stream of requests, each on a new connection to a host that the directory names. */
final class Clients {
    /** Clients of a zone. */
    private static final int CLIENTS = 30;

    private final Record record;
    private final List<Host> hosts;
    private final String zone;
    private final String region;
    private final Map<String, Long> sentNanos = new ConcurrentHashMap<>();
    private final Map<Integer, AtomicInteger> answers = new ConcurrentHashMap<>();
    private final Map<String, String> sentTo = new ConcurrentHashMap<>();
    private final AtomicLong numbers = new AtomicLong();
    private final Random random = new Random(7);
    private final Map<Integer, List<String>> addresses = new ConcurrentHashMap<>();
    private volatile boolean stopped;

    Clients(Record record, List<Host> hosts, String zone, String region) {
        this.record = record;
        this.hosts = hosts;
        this.zone = zone;
        this.region = region;
    }

    /** Lets each client ask the directory of a host of its zone, or of another zone if none answers. */
    void resolve() {
        List<Host> nearestFirst = new ArrayList<>(hosts);
        for (int client = 0; client < CLIENTS; client++) {
            Collections.shuffle(nearestFirst, random);
            nearestFirst.sort(Comparator.comparing(host -> host.zone.equals(zone) ? 0 : 1));
            for (Host host : nearestFirst.subList(0, Math.min(3, nearestFirst.size()))) {
                List<String> answer = host.resolve(region, zone);
                if (!answer.isEmpty()) {
                    addresses.put(client, answer);
                    break;
                }
            }
        }
    }

    /** Starts a stream of requests of one kind. */
    void start(String method, String path, double perSecond, int things, int deadlineMillis) {
        start(method, path, perSecond, things, deadlineMillis, Long.MAX_VALUE);
    }

    /** Starts booking requests beside those that are sent anyway, for some time. */
    void burst(double perSecond, long millis) {
        start("POST", "/booking/", perSecond * 2.1 / 8.07, 24, 6000, millis);
    }

    private void start(
            String method, String path, double perSecond, int things, int deadlineMillis, long durationMillis) {
        Threads.start(() -> {
            long start = System.nanoTime();
            long next = start;
            while (!stopped && (System.nanoTime() - start) / 1_000_000 < durationMillis) {
                next += (long) (1e9 / perSecond);
                long wait = (next - System.nanoTime()) / 1_000_000;
                if (wait > 0) {
                    Thread.sleep(wait);
                }
                String object = path.replace("/", "") + random.nextInt(things);
                Threads.start(() -> request(method, path + object, object, deadlineMillis, 1));
            }
        });
    }

    void stop() {
        stopped = true;
    }

    /** Returns the address to which a request was sent. */
    String sentTo(String requestId) {
        return sentTo.get(requestId);
    }

    /** Returns when a request was sent, as a time of {@link System#nanoTime}. */
    Long sent(String requestId) {
        return sentNanos.get(requestId);
    }

    Map<Integer, AtomicInteger> answers() {
        return answers;
    }

    private void request(String method, String target, String object, int deadlineMillis, int retries) throws Exception {
        String id = zone + "-" + numbers.incrementAndGet();
        List<String> known = addresses.get(random.nextInt(CLIENTS));
        if (known == null) {
            return;
        }
        String address = known.get(random.nextInt(known.size()));
        int colon = address.indexOf(':');
        long start = System.nanoTime();
        int status = 0;
        String retryAfter = null;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1000);
            socket.setSoTimeout(deadlineMillis);
            sentTo.put(id, address + target);
            sentNanos.put(id, System.nanoTime());
            record.line("client sends " + id + " to " + address + " " + target);
            Http.write(
                    socket.getOutputStream(),
                    method + " " + target + " HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: " + id + "\r\nX-Affinity-Key: "
                            + object + "\r\nX-Request-Deadline: " + deadlineMillis + "\r\n",
                    new byte[0]);
            Http.Message answer = Http.read(socket.getInputStream());
            if (answer != null) {
                status = answer.status();
                retryAfter = answer.header("Retry-After");
            }
        } catch (IOException e) {
            record.line("client sees " + e + " for " + id);
        }
        record.line("client gets " + status + " for " + id);
        answers.computeIfAbsent(status, key -> new AtomicInteger()).incrementAndGet();
        int left = deadlineMillis - (int) ((System.nanoTime() - start) / 1_000_000);
        if ((status == 503 || status == 429) && retries > 0 && left > 0) {
            double seconds = retryAfter == null ? 0 : Double.parseDouble(retryAfter);
            Thread.sleep((long) Math.min(seconds * 1000, left / 3.0));
            request(method, target, object, left, retries - 1);
        }
    }
}

package review2;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/**
 * A host gets SIGTERM while callers that read slowly wait for the responses to two requests, and then send a third one
 * before they have read those responses. Not among the five cases; REPORT-2.md has its result.
 */
final class SlowReaderCase extends Case {
    private static final int CALLERS = 8;
    private static final int WORK_MILLIS = 300;
    private static final int BODY_BYTES = 200_000;
    private static final int BYTES_PER_READ = 10_000;
    private static final int READ_INTERVAL_MILLIS = 80;
    private static final int THIRD_AFTER_MILLIS = 2000;
    private static final int DEADLINE_MILLIS = 6000;

    private final Map<String, String> outcomes = new ConcurrentHashMap<>();
    private Endpoint endpoint;

    public static void main(String[] args) throws Exception {
        new SlowReaderCase().run(Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        Store store = new Store(record, false);
        store.put("config", "main", new Configuration(7)
                .route("/lepu270/", "safe", DEADLINE_MILLIS, 1000, "floorplan-svc")
                .service("floorplan-svc")
                .json());
        endpoint = new Endpoint(record, "i-0", "floorplan-svc", "hobart-a", 40, WORK_MILLIS, BODY_BYTES);
        store.put("servers", endpoint.id, endpoint.entry("ready", 1));
        Host host = new Host(
                record, directory, "front-hobart-a-1", "hobart-a", 1, store.address(), Host.Deployment.derwent());
        hosts.add(host);
        host.start();
        if (!host.awaitReady(Host.START_MILLIS)) {
            return NOT_RUN;
        }
        try (Caller warm = new Caller(host.callers())) {
            for (int i = 0; i < 3; i++) {
                warm.call("GET", "/lepu270/warm", DEADLINE_MILLIS, "", "");
            }
        }
        Thread.sleep(4500);
        CountDownLatch sent = new CountDownLatch(CALLERS);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            Thread thread = new Thread(() -> call(host, number, sent));
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        sent.await();
        Thread.sleep(100);
        if (trouble) {
            host.terminate();
        }
        for (Thread thread : threads) {
            thread.join(20_000);
        }
        int lost = 0;
        for (Endpoint.Run run : endpoint.runs()) {
            String outcome = outcomes.get(run.requestId());
            if (outcome != null && !outcome.equals("complete") && run.answered()[0]) {
                lost++;
            }
        }
        record.result("LOST: " + lost + " of " + 2 * CALLERS
                + " requests that the host had passed on and the endpoint had answered have no complete answer");
        return lost > 0 ? BROKEN : HELD;
    }

    private void call(Host host, int number, CountDownLatch sent) {
        String[] ids = {Caller.newId(), Caller.newId(), Caller.newId()};
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(16_384);
            socket.connect(host.callers(), 1000);
            socket.setSoTimeout(DEADLINE_MILLIS);
            socket.setTcpNoDelay(true);
            long start = System.nanoTime();
            for (int i = 0; i < 2; i++) {
                send(socket, number, ids[i]);
            }
            outcomes.put(ids[0], "none");
            outcomes.put(ids[1], "none");
            sent.countDown();
            Thread third = new Thread(() -> {
                try {
                    Thread.sleep(THIRD_AFTER_MILLIS - (System.nanoTime() - start) / 1_000_000);
                    send(socket, number, ids[2]);
                } catch (IOException e) {
                    record.line("caller " + number + ": third request not sent: " + e);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            third.setDaemon(true);
            third.start();
            SlowInput in = new SlowInput(socket.getInputStream());
            for (int i = 0; i < 2; i++) {
                Request answer = Wire.read(in);
                String outcome = answer == null ? "the connection ended before the answer" : "complete";
                outcomes.put(ids[i], outcome);
                record.line("caller " + number + ": " + ids[i] + " -> " + outcome + " "
                        + (answer == null ? "" : answer.status() + " Connection: " + answer.header("connection")) + " after "
                        + (System.nanoTime() - start) / 1_000_000 + " ms");
                if (answer == null || answer.header("connection").equalsIgnoreCase("close")) {
                    break;
                }
            }
        } catch (EOFException e) {
            ended(number, ids, e);
        } catch (IOException e) {
            ended(number, ids, e);
        }
    }

    private void ended(int number, String[] ids, IOException reason) {
        for (int i = 0; i < 2; i++) {
            if ("none".equals(outcomes.get(ids[i]))) {
                outcomes.put(ids[i], "incomplete");
                record.line("caller " + number + ": " + ids[i] + " -> incomplete: " + reason);
            }
        }
    }

    private void send(Socket socket, int number, String id) throws IOException {
        socket.getOutputStream().write(Caller.request("GET", "/lepu270/" + id, id, DEADLINE_MILLIS, "", ""));
        record.line("caller " + number + ": sends " + id);
    }

    /** Reads a part at a time, with a pause between the parts. */
    private static final class SlowInput extends InputStream {
        private final InputStream in;
        private final byte[] part = new byte[BYTES_PER_READ];
        private int position;
        private int length;

        SlowInput(InputStream in) {
            this.in = in;
        }

        @Override
        public int read() throws IOException {
            if (position == length) {
                try {
                    Thread.sleep(READ_INTERVAL_MILLIS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                length = in.read(part);
                position = 0;
                if (length <= 0) {
                    length = 0;
                    return -1;
                }
            }
            return part[position++] & 0xff;
        }
    }
}

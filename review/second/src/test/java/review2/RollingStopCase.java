package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The hosts are stopped and started in turn, four times. Each has kept connections that are idle and bookings that are
 * sent while it stops.
 */
final class RollingStopCase extends Case {
    private static final int HOSTS = 10;
    private static final int ROLLS = 4;
    private static final int GAP_MILLIS = 1000;
    private static final int IDLE_CONNECTIONS = 20;
    private static final int BOOKINGS = 10;
    private static final int FIRST_BOOKING_MILLIS = 1600;
    private static final int BOOKINGS_MILLIS = 900;
    private static final int WORK_MILLIS = 1160;
    private static final int DEADLINE_MILLIS = 6000;
    private static final int GRACE_MILLIS = 6000;

    private final List<Endpoint> bookings = new ArrayList<>();
    private final List<Caller.Call> calls = new CopyOnWriteArrayList<>();
    private final AtomicInteger notReady = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        new RollingStopCase().run(Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        Store store = new Store(record, false);
        store.put("config", "main", new Configuration(7)
                .route("/lepu270/", "safe", 1500, 600, "calendar-svc")
                .route("/xapu221/ny95/", "unsafe", 6000, 1500, "booking-svc")
                .service("calendar-svc")
                .service("booking-svc")
                .json());
        for (int i = 0; i < 12; i++) {
            String zone = i % 2 == 0 ? "kgl-a" : "kgl-b";
            Endpoint booking = new Endpoint(record, "b-" + i, "booking-svc", zone, 20, WORK_MILLIS, 400);
            bookings.add(booking);
            store.put("servers", booking.id, booking.entry("ready", 1));
            Endpoint calendar = new Endpoint(record, "c-" + i, "calendar-svc", zone, 20, 20, 5000);
            store.put("servers", calendar.id, calendar.entry("ready", 1));
        }
        for (int i = 0; i < HOSTS; i++) {
            String zone = i % 2 == 0 ? "kgl-a" : "kgl-b";
            hosts.add(new Host(
                    record,
                    directory,
                    "front-" + zone + "-" + (i / 2 + 1),
                    zone,
                    i + 1,
                    store.address(),
                    Host.Deployment.inziraShoots()));
        }
        for (Host host : hosts) {
            host.start();
        }
        for (Host host : hosts) {
            if (!host.awaitReady(Host.START_MILLIS)) {
                return NOT_RUN;
            }
        }
        Thread.sleep(4000);
        int failedStops = 0;
        for (int roll = 0; roll < ROLLS; roll++) {
            long start = System.nanoTime() + 2_000_000_000L;
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < HOSTS; i++) {
                Host host = hosts.get(i);
                long at = start + i * GAP_MILLIS * 1_000_000L;
                threads.add(start(() -> stopAndStart(host, at)));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            if (notReady.get() > 0) {
                return NOT_RUN;
            }
        }
        for (Host host : hosts) {
            for (String line : host.allLogLines("the stop failed")) {
                failedStops++;
                record.line(line);
            }
        }
        int lost = 0;
        for (Caller.Call call : calls) {
            boolean ran = bookings.stream()
                    .flatMap(endpoint -> endpoint.runs().stream())
                    .anyMatch(run -> run.requestId().equals(call.id()));
            if (call.status() == 0 && ran) {
                lost++;
                record.line("LOST " + call.id() + ": passed on, then " + call.error());
            }
        }
        record.result("LOST: " + lost + " of " + calls.size()
                + " bookings had been passed on to an endpoint and have no answer, as their connection ended");
        record.result("stops that failed according to the logs: " + failedStops + " of "
                + (trouble ? HOSTS * ROLLS : 0));
        return lost > 0 ? BROKEN : HELD;
    }

    /** Serves a host's callers around the time at which it is stopped, and starts it again when it has ended. */
    private void stopAndStart(Host host, long atNanos) {
        List<Caller> idle = new ArrayList<>();
        try {
            sleepUntil(atNanos - 1_500_000_000L);
            for (int i = 0; i < IDLE_CONNECTIONS; i++) {
                Caller caller = new Caller(host.callers());
                idle.add(caller);
                caller.call("GET", "/lepu270/" + i, 4000, "", "");
            }
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < BOOKINGS; i++) {
                long bookingNanos =
                        atNanos + (FIRST_BOOKING_MILLIS + BOOKINGS_MILLIS * i / BOOKINGS) * 1_000_000L;
                threads.add(start(() -> book(host, atNanos - 500_000_000L, bookingNanos)));
            }
            sleepUntil(atNanos);
            if (trouble) {
                host.terminate();
            }
            for (Thread thread : threads) {
                thread.join();
            }
            if (trouble) {
                host.awaitEnd(GRACE_MILLIS + 1000);
                record.line(host.name + ": ended, status " + host.exitStatus());
                host.start();
                if (!host.awaitReady(Host.START_MILLIS)) {
                    notReady.incrementAndGet();
                }
            }
        } catch (IOException e) {
            record.line(host.name + ": " + e);
            notReady.incrementAndGet();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            idle.forEach(Caller::close);
        }
    }

    /** Opens a connection with a look-up of the calendar and sends a booking over it later. */
    private void book(Host host, long connectNanos, long bookingNanos) {
        try (Caller caller = new Caller(host.callers())) {
            sleepUntil(connectNanos);
            caller.call("GET", "/lepu270/villa", 4000, "", "");
            sleepUntil(bookingNanos);
            Caller.Call call = caller.call("POST", "/xapu221/ny95/villa", DEADLINE_MILLIS, "", "confirm");
            record.line("booking " + call.id() + " to " + host.name + " -> " + call.status() + " " + call.error());
            calls.add(call);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(null, task, "player", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        long millis = (nanos - System.nanoTime()) / 1_000_000;
        if (millis > 0) {
            Thread.sleep(millis);
        }
    }
}

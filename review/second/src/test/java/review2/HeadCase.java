package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The operator removes a route. Callers that use it with HEAD go on with a booking over the same connection when they have
 * the answer.
 */
final class HeadCase extends Case {
    private static final String CALENDAR = "/lepu270/";
    private static final String BOOKING = "/xapu221/ny95/";
    private static final int DEADLINE_MILLIS = 6000;
    private static final int CONFIGURATION_MILLIS = 2500;
    private static final int CALLERS = 10;

    private final List<Endpoint> bookings = new ArrayList<>();

    public static void main(String[] args) throws Exception {
        new HeadCase().run(Path.of(args[0]));
    }

    private static String configuration(long version, boolean withCalendar) {
        Configuration configuration = new Configuration(version)
                .route(BOOKING, "unsafe", 2000, 1500, "booking-svc")
                .service("calendar-svc")
                .service("booking-svc");
        return (withCalendar ? configuration.route(CALENDAR, "safe", 1500, 600, "calendar-svc") : configuration).json();
    }

    @Override
    int play() throws Exception {
        Store store = new Store(record, false);
        store.put("config", "main", configuration(7, true));
        for (String zone : List.of("kgl-a", "kgl-b")) {
            Endpoint calendar = new Endpoint(record, "c-" + zone, "calendar-svc", zone, 5, 200, 5000);
            store.put("servers", calendar.id, calendar.entry("ready", 1));
            Endpoint booking = new Endpoint(record, "b-" + zone, "booking-svc", zone, 4, 300, 400);
            store.put("servers", booking.id, booking.entry("ready", 1));
            bookings.add(booking);
        }
        Host host = new Host(
                record, directory, "front-kgl-a-1", "kgl-a", 1, store.address(), Host.Deployment.inziraShoots());
        hosts.add(host);
        host.start();
        if (!host.awaitReady(Host.START_MILLIS)) {
            return NOT_RUN;
        }
        Thread.sleep(4500);
        if (trouble) {
            store.put("config", "main", configuration(8, false));
            record.line("version 8, without the route of the calendar, acknowledged");
        }
        Thread.sleep(CONFIGURATION_MILLIS + 500);
        int wrong = 0;
        int unread = 0;
        for (int i = 0; i < CALLERS; i++) {
            try (Socket socket = new Socket()) {
                socket.connect(host.callers(), 1000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(DEADLINE_MILLIS);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String id = Caller.newId();
                socket.getOutputStream().write(Caller.request("HEAD", CALENDAR + i, id, 4000, "", ""));
                record.line("HEAD " + id + " -> " + readHead(in));

                String booking = Caller.newId();
                socket.getOutputStream()
                        .write(Caller.request("POST", BOOKING + i, booking, DEADLINE_MILLIS, "", "villa"));
                String answer = readHead(in);
                boolean isAnswer = answer.startsWith("HTTP/1.1 ");
                if (!isAnswer) {
                    wrong++;
                    // The booking goes on, as its endpoint works for longer than this read took.
                    Thread.sleep(1000);
                }
                boolean ran = ran(booking);
                unread += !isAnswer && ran ? 1 : 0;
                record.line("POST " + booking + " -> " + answer + (ran ? ", ran" : ", did not run"));
            } catch (SocketTimeoutException e) {
                record.line("no answer: " + e);
            }
        }
        record.result("MIXED: on " + wrong + " of " + CALLERS
                + " connections came bytes that are no answer where the answer to the booking is due; " + unread
                + " of these bookings ran");
        return wrong > 0 ? BROKEN : HELD;
    }

    private boolean ran(String requestId) {
        return bookings.stream()
                .flatMap(endpoint -> endpoint.runs().stream())
                .anyMatch(run -> run.requestId().equals(requestId));
    }

    /** Reads up to the empty line behind a head, which ends the answer to a HEAD request; returns its first line. */
    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String text = "";
        while (!text.endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                break;
            }
            bytes.write(next);
            text = bytes.toString(StandardCharsets.ISO_8859_1);
        }
        int end = text.indexOf('\r');
        return end < 0 ? text : text.substring(0, end);
    }
}

package review2;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Callers send request targets with bytes above 0x7f, UTF-8 without percent encoding. Not among the five cases, since sound
 * clients encode them; REPORT-2.md has its result.
 */
final class PathBytesCase extends Case {
    private static final String PREFIX = "/xapu221/ny95/";

    public static void main(String[] args) throws Exception {
        new PathBytesCase().run(Path.of(args[0]));
    }

    @Override
    int play() throws Exception {
        Store store = new Store(record, false);
        store.put("config", "main", new Configuration(7)
                .route(PREFIX, "unsafe", 4000, 500, "booking-svc")
                .service("booking-svc")
                .json());
        Endpoint endpoint = new Endpoint(record, "i-0", "booking-svc", "kgl-a", 4, 50, 400);
        store.put("servers", endpoint.id, endpoint.entry("ready", 1));
        Host host = new Host(
                record, directory, "front-kgl-a-1", "kgl-a", 1, store.address(), Host.Deployment.inziraShoots());
        hosts.add(host);
        host.start();
        if (!host.awaitReady(Host.START_MILLIS)) {
            return NOT_RUN;
        }
        int changed = 0;
        for (String name : new String[] {"plain", "Z\u00fcrich", "K\u00edgal\u00ed?t=\u20ac5"}) {
            String text = trouble ? name : name.replaceAll("[^\\x00-\\x7f]", "%C3%BC");
            String target = PREFIX + new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
            try (Caller caller = new Caller(host.callers())) {
                Caller.Call call = caller.call("POST", target, 4000, "", "x");
                record.line("sent " + call.id() + " " + hex(target) + " -> " + call.status());
                for (Endpoint.Run run : endpoint.runs()) {
                    if (run.requestId().equals(call.id())) {
                        String ran = run.startLine().split(" ", 3)[1];
                        record.line("ran  " + call.id() + " " + hex(ran));
                        changed += ran.equals(target) ? 0 : 1;
                    }
                }
            }
        }
        record.result("UNASKED: " + changed + " of 3 requests ran with another path or query than was sent");
        return changed > 0 ? BROKEN : HELD;
    }

    private static String hex(String text) {
        StringBuilder hex = new StringBuilder();
        for (char each : text.toCharArray()) {
            hex.append(each < 0x80 ? String.valueOf(each) : String.format("<%02x>", (int) each));
        }
        return hex.toString();
    }
}

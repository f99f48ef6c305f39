import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Runs one case: the arguments are its name and the file for the record. Exits with 1 if the rule was broken, 0 if not, 2 if it did not run. */
public final class Review {
    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long MAX_RUN_MILLIS = 110_000;

    private Review() {}

    public static void main(String[] args) throws Exception {
        Threads.start(() -> {
            Thread.sleep(MAX_RUN_MILLIS);
            System.out.println("cannot run: it takes too long");
            System.exit(2);
        });
        Fleet fleet = null;
        int status = 2;
        try {
            fleet = new Fleet(Path.of(args[1]));
            boolean broken =
                    switch (args[0]) {
                        case "evacuation" -> evacuation(fleet);
                        case "lost-answer" -> lostAnswer(fleet);
                        case "replaced-machines" -> replacedMachines(fleet);
                        default -> throw new Fleet.CannotRun("unknown case " + args[0]);
                    };
            status = broken ? 1 : 0;
        } catch (Exception e) {
            System.out.println("cannot run: " + e);
        } finally {
            if (fleet != null) {
                fleet.stop();
            }
        }
        System.exit(status);
    }

    /** Starts the ten hosts and the endpoints of the site. */
    private static void startSite(Fleet fleet) throws Exception {
        for (String zone : Fleet.ZONES.keySet()) {
            int count = zone.equals("msz-b") || zone.equals("hye-b") ? 1 : 2;
            for (int i = 1; i <= count; i++) {
                fleet.startHost("front-" + zone + "-" + i, zone);
            }
        }
        for (String zone : Fleet.ZONES.keySet()) {
            fleet.addEndpoints(zone);
        }
        fleet.awaitReady();
    }

    /** Machines were removed for good and others added; then a zone's endpoints come back cold. */
    private static boolean replacedMachines(Fleet fleet) throws Exception {
        List<String> zones = List.of("kgl-a", "kgl-b");
        int generations = TROUBLE ? 8 : 0;
        for (int generation = 0; generation < generations; generation++) {
            List<Host> started = new ArrayList<>();
            for (String zone : zones) {
                for (int i = 1; i <= 3; i++) {
                    started.add(fleet.startHost("front-" + zone + "-" + (3 * generation + i), zone));
                }
            }
            Set<String> expected = new HashSet<>();
            started.forEach(host -> expected.add(host.name));
            for (int i = 0; !fleet.store.names("carawaylift-hosts").containsAll(expected); i++) {
                if (i > 600) {
                    expected.removeAll(fleet.store.names("carawaylift-hosts"));
                    for (Host host : started) {
                        if (expected.contains(host.name)) {
                            System.out.println(host.name + " runs: " + host.isAlive() + ", its last output: " + host.output());
                        }
                    }
                    throw new Fleet.CannotRun("hosts did not register: " + expected);
                }
                Thread.sleep(Integer.getInteger("gap", 15));
            }
            for (Host host : started) {
                host.kill();
                fleet.record.line("host " + host.name + " is removed");
                fleet.hosts.remove(host);
            }
        }
        for (String zone : zones) {
            for (int i = 1; i <= 3; i++) {
                fleet.startHost("front-" + zone + "-" + (3 * generations + i), zone);
            }
        }
        for (String zone : zones) {
            fleet.addEndpoints(zone);
        }
        fleet.awaitReady();
        fleet.startClients(zones, 37.9 * 1.55);
        Thread.sleep(9000);
        // The endpoints of kgl-b crash; their entries are removed after three heartbeat intervals of silence, and they come
        // back together, cold, as other incarnations.
        List<String> down = List.of("i-calendar-kgl-b-1", "i-booking-kgl-b-1", "i-media-kgl-b-1");
        for (String id : down) {
            fleet.endpoint(id).crash();
        }
        Thread.sleep(4500);
        down.forEach(id -> fleet.store.delete("servers", id));
        List<Endpoint> back = List.of(
                fleet.addEndpoint("i-calendar-kgl-b-2", Fleet.CALENDAR, "kgl-b", Fleet.COLD_MILLIS),
                fleet.addEndpoint("i-booking-kgl-b-2", "booking-svc", "kgl-b", Fleet.COLD_MILLIS),
                fleet.addEndpoint("i-media-kgl-b-2", "media-pay-svc", "kgl-b", Fleet.COLD_MILLIS));
        Thread.sleep(5000);
        fleet.reportAnswers();
        boolean broken = false;
        for (Endpoint endpoint : back) {
            broken |= fleet.coldBoundBroken(endpoint);
        }
        return broken;
    }

    /** A zone is emptied and taken back cold during a burst; one answer of the store, with the cold entries, is lost. */
    private static boolean evacuation(Fleet fleet) throws Exception {
        startSite(fleet);
        double rate = 37.9;
        double peak = 1.55;
        fleet.startClients(List.of("kgl-a", "kgl-b"), rate * peak);
        fleet.startClients(List.of("msz-a", "msz-b", "hye-a", "hye-b"), rate);
        Thread.sleep(9000);
        fleet.reportAnswers();
        fleet.store.put("evacuations", "kgl-a", "{}");
        Thread.sleep(5000);
        for (Clients ofZone : fleet.clients) {
            ofZone.burst(rate * (ofZone == fleet.clients.get(0) || ofZone == fleet.clients.get(1) ? peak : 1) * 1.6, 6400);
        }
        Thread.sleep(2000);
        if (TROUBLE) {
            fleet.store.silence(relay(fleet), "/v1/objects/servers?watch");
        }
        Thread.sleep(100);
        for (String service : List.of("media", "calendar", "booking")) {
            fleet.endpoint("i-" + service + "-kgl-a-1").register(Fleet.COLD_MILLIS);
        }
        Thread.sleep(500);
        fleet.store.delete("evacuations", "kgl-a");
        Thread.sleep(5000);
        if (TROUBLE && fleet.store.silentSinceNanos() == 0) {
            throw new Fleet.CannotRun("no answer was lost");
        }
        fleet.reportAnswers();
        boolean broken = false;
        for (Endpoint endpoint : fleet.endpoints) {
            if (endpoint.zone.equals("kgl-a")) {
                broken |= fleet.coldBoundBroken(endpoint);
            }
        }
        return broken;
    }

    /** Two configurations follow each other; one answer of the store, with the second of them, is lost. */
    private static boolean lostAnswer(Fleet fleet) throws Exception {
        startSite(fleet);
        fleet.startClients(Fleet.ZONES.keySet(), 16.7);
        fleet.clients.forEach(each -> each.start("GET", "/moved/", 12, 27, 4000));
        Thread.sleep(8000);
        String relay = relay(fleet);
        fleet.configure(8, Fleet.CALENDAR, true);
        Thread.sleep(400);
        if (TROUBLE) {
            fleet.store.silence(relay, "/v1/objects/config?watch");
        }
        fleet.configure(9, "booking-svc", true);
        long acknowledged = System.nanoTime();
        Thread.sleep(8000);
        if (TROUBLE && fleet.store.silentSinceNanos() == 0) {
            throw new Fleet.CannotRun("no answer was lost");
        }
        fleet.reportAnswers();
        long calm = Math.max(acknowledged, fleet.store.silentSinceNanos());
        return fleet.oldServiceRuns("/moved/", Fleet.CALENDAR, acknowledged, calm);
    }

    /** Returns the host of the region kigali that follows the store for the others. */
    private static String relay(Fleet fleet) throws Exception {
        for (Host host : fleet.hosts) {
            if (host.zone.startsWith("kgl") && host.metrics().matches("(?s).*carawaylift_store_relay[^\\n]* 1(\\.0)?\\n.*")) {
                return host.name;
            }
        }
        throw new Fleet.CannotRun("no host says that it is the relay");
    }
}

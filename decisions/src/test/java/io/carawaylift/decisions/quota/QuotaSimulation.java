package io.carawaylift.decisions.quota;

import io.carawaylift.decisions.customer.Customer;
import io.carawaylift.decisions.relay.RelayContacts;
import io.carawaylift.decisions.relay.RelayOrder;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Hosts in three regions that exchange counts as the host program does, with callers, in virtual time. A frozen host
 * handles what arrived meanwhile when it continues; a cut off host serves its callers but reaches no other host.
 */
final class QuotaSimulation {
    static final int HOSTS = 67;
    static final int ZONES = 6;
    static final int REGIONS = 3;
    static final int CUSTOMERS = 76;
    static final QuotaTerms TERMS = new QuotaTerms(seconds(5), 0.1, 20);

    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final long CONTACT_NANOS = TimeUnit.MILLISECONDS.toNanos(1400);
    private static final long REGION_LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(35);
    private static final long ZONE_LATENCY_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
    private static final double NANOS_PER_SECOND = 1e9;

    /** Callers of each zone; the last two zones are a region with a third of the callers. */
    private static final double[] ZONE_CALLERS = {0.17, 0.17, 0.16, 0.17, 0.165, 0.165};

    final SplittableRandom random;
    final List<Customer> customers = new ArrayList<>();
    final Map<Customer, List<Long>> admitted = new HashMap<>();
    final Map<Customer, List<Long>> arrived = new HashMap<>();
    final Map<Customer, Double> demandFactors = new HashMap<>();
    final List<Host> hosts = new ArrayList<>();
    final double[] zoneCallers = ZONE_CALLERS.clone();
    double lossRate;
    private final Map<String, List<String>> relayOrders = new TreeMap<>();
    private final Map<String, Host> byName = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparingLong(Event::order));
    private long now;
    private long order;

    private record Event(long nanos, long order, Runnable action) {}

    static long seconds(double seconds) {
        return (long) (seconds * NANOS_PER_SECOND);
    }

    QuotaSimulation(long seed) {
        random = new SplittableRandom(seed);
        double largest = 1 + random.nextDouble() * 599;
        for (int i = 0; i < CUSTOMERS; i++) {
            double rate = Math.max(1, largest / Math.pow(i + 1, 1.2));
            Customer customer = new Customer("customer-" + i, OptionalInt.empty(), rate, Math.rint(rate), Set.of());
            customers.add(customer);
            admitted.put(customer, new ArrayList<>());
            arrived.put(customer, new ArrayList<>());
            demandFactors.put(customer, 1.0);
        }
        Map<String, List<String>> names = new TreeMap<>();
        for (int i = 0; i < HOSTS; i++) {
            Host host = new Host("host-" + i, i % ZONES);
            hosts.add(host);
            byName.put(host.name, host);
            names.computeIfAbsent(host.region(), key -> new ArrayList<>()).add(host.name);
        }
        names.forEach((region, list) -> relayOrders.put(region, RelayOrder.of(list)));
        for (Host host : hosts) {
            at(random.nextLong(TICK_NANOS), host::tick);
        }
        customers.forEach(this::scheduleArrival);
    }

    long now() {
        return now;
    }

    void at(long nanos, Runnable action) {
        events.add(new Event(nanos, order++, action));
    }

    void runUntil(double seconds) {
        while (events.peek().nanos() < seconds(seconds)) {
            Event next = events.poll();
            now = next.nanos();
            next.action().run();
        }
    }

    /** Lets a part of a zone's callers move to another zone. */
    void moveCallers(int from, int to, double part) {
        zoneCallers[to] += zoneCallers[from] * part;
        zoneCallers[from] *= 1 - part;
    }

    List<Host> randomHosts(double part) {
        List<Host> chosen = new ArrayList<>(hosts);
        Collections.shuffle(chosen, new Random(random.nextLong()));
        return chosen.subList(0, (int) Math.round(part * HOSTS));
    }

    Set<Host> relays() {
        Set<Host> relays = new HashSet<>();
        relayOrders.values().forEach(names -> names.stream().limit(2).forEach(name -> relays.add(byName.get(name))));
        return relays;
    }

    private void scheduleArrival(Customer customer) {
        double usual = customer.requestsPerSecond() / 1.6;
        double rate = usual * demandFactors.get(customer);
        // The interval is bounded so that a changed factor takes effect soon.
        double interval = -Math.log(1 - random.nextDouble()) / rate;
        long resample = seconds(0.1);
        if (seconds(interval) > resample) {
            at(now + resample, () -> scheduleArrival(customer));
            return;
        }
        at(now + seconds(interval), () -> {
            arrive(customer);
            scheduleArrival(customer);
        });
    }

    private void arrive(Customer customer) {
        arrived.get(customer).add(now);
        double total = 0;
        double[] weights = new double[ZONES];
        for (int zone = 0; zone < ZONES; zone++) {
            double phase = 2 * Math.PI * (now / NANOS_PER_SECOND / 36 + zone / (double) ZONES);
            weights[zone] = zoneCallers[zone] * (1 + 0.55 * Math.sin(phase));
            total += weights[zone];
        }
        double point = random.nextDouble() * total;
        int zone = 0;
        while (zone < ZONES - 1 && point >= weights[zone]) {
            point -= weights[zone++];
        }
        Host host = hostOfZone(zone);
        host.whenRunning(() -> host.request(customer));
    }

    private Host hostOfZone(int zone) {
        Host host;
        do {
            int index = random.nextInt((HOSTS - zone + ZONES - 1) / ZONES) * ZONES + zone;
            host = hosts.get(index);
        } while (host.dead && random.nextInt(20) > 0);
        return host;
    }

    /** Returns the most requests that ran in a window, divided by what is allowed. */
    double worstUse(Customer customer) {
        List<Long> times = admitted.get(customer);
        int first = 0;
        int most = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= TERMS.windowNanos()) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most / Math.floor(TERMS.bound(customer) + 1e-9);
    }

    static long countBetween(List<Long> times, double from, double to) {
        return times.stream()
                .filter(time -> time >= seconds(from) && time < seconds(to))
                .count();
    }

    final class Host {
        final String name;
        final int zone;
        boolean cutOff;
        boolean dead;
        boolean frozen;
        private final List<Runnable> held = new ArrayList<>();
        private final Map<String, Long> heard = new HashMap<>();
        private final Map<String, Long> contacted = new HashMap<>();
        private final Map<String, Long> incoming = new HashMap<>();
        private final RelayContacts relayContacts = new RelayContacts();
        private ElapsedClock clock;
        private long stoppedNanos;
        private long frozenSince;
        private CustomerQuotas quotas;
        private QuotaExchange exchange;

        Host(String name, int zone) {
            this.name = name;
            this.zone = zone;
            start();
        }

        String region() {
            return "region-" + zone / (ZONES / REGIONS);
        }

        private void start() {
            clock = new ElapsedClock(() -> now - stoppedNanos, () -> now / 1_000_000);
            quotas = CustomerQuotas.builder()
                    .terms(TERMS)
                    .random(random.split())
                    .firstReport(QuotaExchange.firstReport(1 + now / 1_000_000))
                    .build();
            quotas.setListedHosts(HOSTS);
            exchange = new QuotaExchange(name, quotas, new RelayedCounts(TERMS.windowNanos()));
            heard.clear();
            contacted.clear();
            incoming.clear();
        }

        void restart() {
            dead = false;
            held.clear();
            start();
        }

        void freeze() {
            frozen = true;
            frozenSince = now;
        }

        /** Continues a frozen host; does nothing if it is running. */
        void resume() {
            if (!frozen) {
                return;
            }
            frozen = false;
            stoppedNanos += now - frozenSince;
            List<Runnable> waiting = List.copyOf(held);
            held.clear();
            waiting.forEach(Runnable::run);
        }

        void whenRunning(Runnable action) {
            if (frozen) {
                held.add(action);
            } else if (!dead) {
                action.run();
            }
        }

        void request(Customer customer) {
            if (quotas.tryAdmit(customer, clock.nanos()).admitted()) {
                admitted.get(customer).add(now);
            }
        }

        void tick() {
            at(now + TICK_NANOS, this::tick);
            if (frozen || dead) {
                return;
            }
            List<String> order = relayOrders.get(region());
            boolean relay = RelayOrder.isRelay(order, name, this::isLive);
            incoming.values().removeIf(time -> now - time > CONTACT_NANOS);
            OwnCounts own = exchange.nextReport(relay || !incoming.isEmpty(), clock.nanos());
            QuotaTotals region = exchange.totals(true, clock.nanos());
            QuotaTotals all = exchange.totals(false, clock.nanos());
            for (String contact : contacts(order)) {
                contacted.putIfAbsent(contact, now);
                Host to = byName.get(contact);
                send(to, () -> {
                    to.incoming.put(name, now);
                    to.heard.put(name, now);
                    to.exchange.reportReceived(name, own.report(), own.counts(), to.clock.nanos());
                });
            }
            if (relay) {
                relayOrders.forEach((other, names) -> {
                    if (!other.equals(region())) {
                        for (String contact : contacts(names)) {
                            contacted.putIfAbsent(contact, now);
                            sendRegion(byName.get(contact), region);
                        }
                    }
                });
            }
            for (String reporter : incoming.keySet()) {
                Host to = byName.get(reporter);
                if (to.region().equals(region())) {
                    QuotaExchange.Sums sums = exchange.sumsFor(reporter, all);
                    send(to, () -> {
                        to.heard.put(name, now);
                        to.exchange.ownRelaySumsReceived(name, sums, to.clock.nanos());
                    });
                } else {
                    sendRegion(to, region);
                }
            }
        }

        private void sendRegion(Host to, QuotaTotals region) {
            QuotaExchange.Sums sums = exchange.sumsFor(to.name, region);
            send(to, () -> {
                to.incoming.put(name, now);
                to.heard.put(name, now);
                to.exchange.regionSumsReceived(region(), name, sums, to.clock.nanos());
            });
        }

        private void send(Host to, Runnable action) {
            if (random.nextDouble() < lossRate) {
                return;
            }
            long latency = region().equals(to.region()) ? ZONE_LATENCY_NANOS : REGION_LATENCY_NANOS;
            at(now + latency, () -> {
                if (!cutOff && !to.cutOff) {
                    to.whenRunning(action);
                }
            });
        }

        private Set<String> contacts(List<String> order) {
            for (String host : order) {
                if (isLive(host)) {
                    relayContacts.responded(host);
                } else {
                    relayContacts.silent(host, now);
                }
            }
            return relayContacts.choose(order, name, this::isLive).hosts();
        }

        private boolean isLive(String host) {
            Long time = heard.get(host);
            if (time != null) {
                return now - time < CONTACT_NANOS;
            }
            Long first = contacted.get(host);
            return first == null || now - first < seconds(1.2);
        }
    }
}

package io.carawaylift.testing.measure;

import io.carawaylift.model.Rank;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Generates requests in order of arrival: Poisson arrivals per rank and log-uniform service times from 10 ms to 1 s. The same
 * seed gives the same requests, so every policy gets the same work.
 */
final class Traffic {
    static final long NANOS_PER_SECOND = 1_000_000_000L;
    static final long WARM_UP_NANOS = 20 * NANOS_PER_SECOND;
    static final long TAIL_NANOS = 120 * NANOS_PER_SECOND;

    private static final double MIN_SERVICE_NANOS = 10e6;
    private static final double MAX_TO_MIN_SERVICE_RATIO = 100;
    private static final int CUSTOMERS = 8;
    private static final Map<Rank, Long> DEADLINE_NANOS = Map.of(
            Rank.URGENT, 3 * NANOS_PER_SECOND,
            Rank.STANDARD, 6 * NANOS_PER_SECOND,
            Rank.DEFERRABLE, 30 * NANOS_PER_SECOND);

    private final PriorityQueue<RequestStream> streams =
            new PriorityQueue<>(Comparator.comparingLong(stream -> stream.nextNanos));
    private final long floodEndNanos;
    private long nextId;

    Traffic(ServiceSize size, Scenario scenario, long measuredNanos, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        floodEndNanos = WARM_UP_NANOS + measuredNanos;
        List<RequestStream> all = new ArrayList<>();
        double capacityPerNano = size.slots() / meanServiceNanos();
        for (Rank rank : Rank.values()) {
            double rate = size.load().get(rank) * capacityPerNano;
            all.add(new RequestStream(rank, false, rate, 0, floodEndNanos + TAIL_NANOS, random.split()));
        }
        scenario.flooded().ifPresent(rank -> {
            double rate = Scenario.FLOOD_FACTOR * capacityPerNano;
            all.add(new RequestStream(rank, true, rate, WARM_UP_NANOS, floodEndNanos, random.split()));
        });
        streams.addAll(all);
    }

    static double meanServiceNanos() {
        return MIN_SERVICE_NANOS * (MAX_TO_MIN_SERVICE_RATIO - 1) / Math.log(MAX_TO_MIN_SERVICE_RATIO);
    }

    /** Returns the next request, or null if there are no more. */
    Request next() {
        RequestStream stream = streams.poll();
        if (stream == null) {
            return null;
        }
        Request request = stream.request();
        stream.advance();
        if (stream.nextNanos < stream.endNanos) {
            streams.add(stream);
        }
        return request;
    }

    private final class RequestStream {
        private final Rank rank;
        private final boolean flood;
        private final double arrivalsPerNano;
        private final long endNanos;
        private final SplittableRandom random;
        private long nextNanos;

        RequestStream(
                Rank rank,
                boolean flood,
                double arrivalsPerNano,
                long startNanos,
                long endNanos,
                SplittableRandom random) {
            this.rank = rank;
            this.flood = flood;
            this.arrivalsPerNano = arrivalsPerNano;
            this.endNanos = endNanos;
            this.random = random;
            nextNanos = startNanos;
            advance();
        }

        private void advance() {
            nextNanos += (long) (-Math.log1p(-random.nextDouble()) / arrivalsPerNano);
        }

        private Request request() {
            long service = (long) (MIN_SERVICE_NANOS * Math.pow(MAX_TO_MIN_SERVICE_RATIO, random.nextDouble()));
            String customer = flood ? "flood" : "customer-" + random.nextInt(CUSTOMERS);
            boolean measured = nextNanos >= WARM_UP_NANOS && nextNanos < floodEndNanos;
            long deadline = nextNanos + DEADLINE_NANOS.get(rank);
            return new Request(nextId++, rank, customer, nextNanos, service, deadline, flood, measured);
        }
    }
}

package io.carawaylift.testing.measure;

import io.carawaylift.model.Rank;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Requests in order of arrival: Poisson arrivals per rank, service times log-uniform over a factor of 100. The same seed
 * gives the same requests, so every policy gets the same work.
 */
final class Traffic {
    static final long SECOND = 1_000_000_000L;
    static final long WARM_UP_NANOS = 20 * SECOND;
    static final long TAIL_NANOS = 120 * SECOND;

    private static final double SHORTEST_NANOS = 10e6;
    private static final double SERVICE_RATIO = 100;
    private static final int CUSTOMERS = 8;
    private static final Map<Rank, Long> DEADLINE = Map.of(
            Rank.URGENT, 3 * SECOND,
            Rank.STANDARD, 6 * SECOND,
            Rank.DEFERRABLE, 30 * SECOND);

    private final PriorityQueue<Stream> streams =
            new PriorityQueue<>(Comparator.comparingLong(stream -> stream.nextNanos));
    private final long floodEndNanos;
    private long requests;

    Traffic(Size size, Scenario scenario, long measuredNanos, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        floodEndNanos = WARM_UP_NANOS + measuredNanos;
        List<Stream> all = new ArrayList<>();
        double capacityPerNano = size.slots() / meanServiceNanos();
        for (Rank rank : Rank.values()) {
            double rate = size.load().get(rank) * capacityPerNano;
            all.add(new Stream(rank, false, rate, 0, floodEndNanos + TAIL_NANOS, random.split()));
        }
        scenario.flooded().ifPresent(rank -> {
            double rate = Scenario.FLOOD_FACTOR * capacityPerNano;
            all.add(new Stream(rank, true, rate, WARM_UP_NANOS, floodEndNanos, random.split()));
        });
        streams.addAll(all);
    }

    static double meanServiceNanos() {
        return SHORTEST_NANOS * (SERVICE_RATIO - 1) / Math.log(SERVICE_RATIO);
    }

    /** Returns the next request, or null at the end. */
    Request next() {
        Stream stream = streams.poll();
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

    private final class Stream {
        private final Rank rank;
        private final boolean flood;
        private final double perNano;
        private final long endNanos;
        private final SplittableRandom random;
        private long nextNanos;

        Stream(Rank rank, boolean flood, double perNano, long startNanos, long endNanos, SplittableRandom random) {
            this.rank = rank;
            this.flood = flood;
            this.perNano = perNano;
            this.endNanos = endNanos;
            this.random = random;
            nextNanos = startNanos;
            advance();
        }

        private void advance() {
            nextNanos += (long) (-Math.log1p(-random.nextDouble()) / perNano);
        }

        private Request request() {
            long service = (long) (SHORTEST_NANOS * Math.pow(SERVICE_RATIO, random.nextDouble()));
            String customer = flood ? "flood" : "customer-" + random.nextInt(CUSTOMERS);
            boolean measured = nextNanos >= WARM_UP_NANOS && nextNanos < floodEndNanos;
            long deadline = nextNanos + DEADLINE.get(rank);
            return new Request(requests++, rank, customer, nextNanos, service, deadline, flood, measured);
        }
    }
}

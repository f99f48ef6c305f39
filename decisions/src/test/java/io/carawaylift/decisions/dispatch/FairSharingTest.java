package io.carawaylift.decisions.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * The order of the queue in virtual time. Load: 20 customers with the same usual rate, which together need 90 % of 36
 * slots; mean processing time 1,000 ms, varying by a factor of two; one customer sends 7 times its usual rate for 600 s,
 * so that the demand is 117 % of the capacity. A request waits at most 450 ms.
 */
final class FairSharingTest {
    private static final int CUSTOMERS = 20;
    private static final int SLOTS = 36;
    private static final double USUAL_UTILIZATION = 0.9;
    private static final double MEAN_MILLIS = 1000;
    private static final double MAX_WAIT_MILLIS = 450;
    private static final double END_MILLIS = 600_000;

    private record Arrival(int customer, double millis, double cost) {}

    private static List<Arrival> arrivals(long seed, double firstFactor) {
        List<Arrival> arrivals = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(seed);
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            double factor = customer == 0 ? firstFactor : 1;
            double interval = MEAN_MILLIS * CUSTOMERS / (SLOTS * USUAL_UTILIZATION * factor);
            double now = 0;
            SplittableRandom own = random.split();
            while (now < END_MILLIS) {
                now -= interval * Math.log(1 - own.nextDouble());
                arrivals.add(new Arrival(customer, now, MEAN_MILLIS * (0.5 + own.nextDouble())));
            }
        }
        arrivals.sort(Comparator.comparingDouble(Arrival::millis));
        return arrivals;
    }

    /** Returns the served fraction of each customer's requests. */
    private static double[] servedFractions(List<Arrival> arrivals, boolean fair) {
        WaitingRequests<DispatchRequest> waiting = new WaitingRequests<>(request -> request);
        PriorityQueue<Double> ends = new PriorityQueue<>();
        double[] served = new double[CUSTOMERS];
        int[] arrived = new int[CUSTOMERS];
        for (Arrival arrival : arrivals) {
            while (!ends.isEmpty() && ends.peek() <= arrival.millis()) {
                double now = ends.poll();
                serveFirst(waiting, ends, served, now);
            }
            arrived[arrival.customer()]++;
            waiting.add(DispatchRequest.builder()
                    .customer(fair ? Integer.toString(arrival.customer()) : "")
                    .object(Integer.toString(arrival.customer()))
                    .cost(arrival::cost)
                    .arrivedNanos((long) (arrival.millis() * 1e6))
                    .build());
            while (ends.size() < SLOTS && serveFirst(waiting, ends, served, arrival.millis())) {}
        }
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            served[customer] /= arrived[customer];
        }
        return served;
    }

    private static boolean serveFirst(
            WaitingRequests<DispatchRequest> waiting, PriorityQueue<Double> ends, double[] served, double now) {
        int before = ends.size();
        waiting.sendFirst(request -> {
            if (now - request.arrivedNanos() / 1e6 > MAX_WAIT_MILLIS) {
                return true;
            }
            if (ends.size() > before) {
                return false;
            }
            ends.add(now + request.cost());
            served[Integer.parseInt(request.object())]++;
            waiting.recordSent(request);
            return true;
        });
        return ends.size() > before;
    }

    /** Guards against a customer that takes the capacity of others by sending more, as it can in the order of arrival. */
    @Test
    void aCustomerThatSendsSevenTimesAsMuchTakesNothingFromOthers() {
        for (long seed = 1; seed <= 10; seed++) {
            double[] usual = servedFractions(arrivals(seed, 1), true);
            double[] hot = servedFractions(arrivals(seed, 7), true);
            double mean = 0;
            for (double fraction : hot) {
                mean += fraction / CUSTOMERS;
            }
            for (int customer = 1; customer < CUSTOMERS; customer++) {
                assertWithMessage("seed %s, customer %s", seed, customer)
                        .that(hot[customer])
                        .isAtLeast(0.95 * usual[customer]);
            }
            assertWithMessage("seed %s, the customer itself", seed).that(hot[0]).isAtLeast(mean / 4);
        }
    }

    /** Guards against a load under which no order would matter. */
    @Test
    void inTheOrderOfArrivalTheOthersWouldLoseMore() {
        double[] usual = servedFractions(arrivals(1, 1), false);
        double[] hot = servedFractions(arrivals(1, 7), false);
        for (int customer = 1; customer < CUSTOMERS; customer++) {
            assertThat(hot[customer]).isLessThan(0.92 * usual[customer]);
        }
    }

    private static DispatchRequest request(String customer, double cost, long arrivedNanos) {
        return DispatchRequest.builder()
                .customer(customer)
                .cost(() -> cost)
                .arrivedNanos(arrivedNanos)
                .build();
    }

    /** Guards against shares by the number of requests where one customer's take longer. */
    @Test
    void requestsThatTakeLongerComeLessOften() {
        WaitingRequests<DispatchRequest> waiting = new WaitingRequests<>(request -> request);
        for (int i = 0; i < 40; i++) {
            waiting.add(request("slow", 4, i));
            waiting.add(request("fast", 1, i));
        }
        List<String> sent = new ArrayList<>();
        waiting.sendFirst(request -> {
            if (sent.size() == 25) {
                return false;
            }
            sent.add(request.customer());
            waiting.recordSent(request);
            return true;
        });
        assertThat(sent.stream().filter("slow"::equals).count()).isAtLeast(4);
        assertThat(sent.stream().filter("slow"::equals).count()).isAtMost(6);
    }

    /** Guards against a customer that saves up service while it sends nothing. */
    @Test
    void aCustomerThatWasIdleGetsNoMoreThanItsShareAfterwards() {
        WaitingRequests<DispatchRequest> waiting = new WaitingRequests<>(request -> request);
        for (int i = 0; i < 100; i++) {
            waiting.recordSent(request("busy", 1, i));
        }
        for (int i = 0; i < 20; i++) {
            waiting.add(request("busy", 1, i));
            waiting.add(request("idle", 1, 1000 + i));
        }
        List<String> sent = new ArrayList<>();
        waiting.sendFirst(request -> sent.size() < 10 && sent.add(request.customer()) && recorded(waiting, request));
        assertThat(sent.stream().filter("idle"::equals).count()).isAtMost(7);
        assertThat(sent.stream().filter("idle"::equals).count()).isAtLeast(4);
    }

    private static boolean recorded(WaitingRequests<DispatchRequest> waiting, DispatchRequest request) {
        waiting.recordSent(request);
        return true;
    }

    /** Guards against refusing the newest arrival although its customer was served least. */
    @Test
    void theCustomerThatWasServedMostIsRefusedFirst() {
        WaitingRequests<DispatchRequest> waiting = new WaitingRequests<>(request -> request);
        DispatchRequest ofServed = request("served", 1, 1);
        DispatchRequest newest = request("new", 1, 9);
        for (int i = 0; i < 5; i++) {
            waiting.recordSent(request("served", 1, 0));
        }
        waiting.add(ofServed);
        waiting.add(newest);
        assertThat(waiting.firstToRefuse()).hasValue(ofServed);
        waiting.remove(ofServed);
        assertThat(waiting.firstToRefuse()).hasValue(newest);
    }
}

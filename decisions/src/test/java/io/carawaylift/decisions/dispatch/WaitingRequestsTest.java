package io.carawaylift.decisions.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class WaitingRequestsTest {
    private final WaitingRequests<DispatchRequest> waiting = new WaitingRequests<>(request -> request);
    private final List<DispatchRequest> sent = new ArrayList<>();

    private DispatchRequest add(int priority, long arrivedNanos) {
        DispatchRequest request = DispatchRequest.builder()
                .priority(priority)
                .arrivedNanos(arrivedNanos)
                .build();
        waiting.add(request);
        return request;
    }

    @Test
    void requestsOfAHigherRankGoFirstAndThenTheOlderOnes() {
        DispatchRequest third = add(2, 1);
        DispatchRequest second = add(1, 9);
        DispatchRequest first = add(1, 5);
        waiting.sendFirst(sent::add);

        assertThat(sent).containsExactly(first, second, third).inOrder();
        assertThat(waiting.size()).isEqualTo(0);
    }

    /** Guards against work that grows with the queue at each freed slot. */
    @Test
    void theNumberOfAttemptsDoesNotGrowWithTheQueue() {
        for (int i = 0; i < 1000; i++) {
            add(1, i);
        }
        List<DispatchRequest> attempts = new ArrayList<>();
        waiting.sendFirst(request -> {
            attempts.add(request);
            return false;
        });

        assertThat(attempts.size()).isAtMost(10);
        assertThat(waiting.size()).isEqualTo(1000);
    }

    /** Guards against a request that is sent twice because sending one ends another. */
    @Test
    void aCallWhileRequestsAreSentSendsEachRequestOnce() {
        for (int i = 0; i < 5; i++) {
            add(1, i);
        }
        waiting.sendFirst(request -> {
            sent.add(request);
            waiting.sendFirst(sent::add);
            return true;
        });

        assertThat(sent).containsNoDuplicates();
        assertThat(sent).hasSize(5);
    }

    @Test
    void aRemovedRequestIsNotSent() {
        DispatchRequest removed = add(1, 1);
        DispatchRequest kept = add(1, 2);
        waiting.remove(removed);
        waiting.sendFirst(sent::add);

        assertThat(sent).containsExactly(kept);
    }
}

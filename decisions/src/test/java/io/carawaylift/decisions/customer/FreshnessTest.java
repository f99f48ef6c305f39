package io.carawaylift.decisions.customer;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class FreshnessTest {
    private static final long REVOCATION_DELAY_MILLIS = 5000;
    private static final ClockReading START = new ClockReading(-4_000_000_000L, 1_700_000_000_000L);

    private final Freshness freshness = new Freshness(REVOCATION_DELAY_MILLIS);
    private final FreshnessRequests requests = new FreshnessRequests(freshness);

    private static ClockReading at(long millis) {
        return START.plusMillis(millis);
    }

    /** Guards against requests with keys before the first proof. */
    @Test
    void nothingIsProvenAtTheStart() {
        assertThat(freshness.isProven(START)).isFalse();
        assertThat(freshness.ageMillis(START)).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against a host that stops too early, or goes on for longer than is safe. */
    @Test
    void aProofIsUsableForSevenTenthsOfTheRevocationDelay() {
        freshness.proven(START, START);

        assertThat(freshness.isProven(at(3000))).isTrue();
        assertThat(freshness.isProven(at(3499))).isTrue();
        assertThat(freshness.isProven(at(3500))).isFalse();
        assertThat(freshness.isProven(at(100_000))).isFalse();
    }

    /** Guards against an earlier proof that arrives late and replaces a later one. */
    @Test
    void theLatestProofCounts() {
        freshness.proven(at(1000), at(1100));
        freshness.proven(at(200), at(1200));

        assertThat(freshness.ageMillis(at(1500))).isEqualTo(500);
    }

    /** Guards against a machine that was suspended, so that its monotonic clock stopped. */
    @Test
    void aSuspensionCountsByTheWallClock() {
        freshness.proven(START, START);
        ClockReading resumed = new ClockReading(START.monotonicNanos() + 1_000_000, START.wallMillis() + 60_000);

        assertThat(freshness.ageMillis(resumed)).isEqualTo(60_000);
        assertThat(freshness.isProven(resumed)).isFalse();
        freshness.proven(resumed, resumed);
        assertThat(freshness.isProven(resumed.plusMillis(3000))).isTrue();
    }

    /** Guards against a wall clock that is set back and makes an old proof look new. */
    @Test
    void aWallClockThatIsSetBackDoesNotRenewAProof() {
        freshness.proven(START, START);
        ClockReading setBack =
                new ClockReading(START.monotonicNanos() + 4_000_000_000L, START.wallMillis() - 3_600_000);

        assertThat(freshness.isProven(setBack)).isFalse();
    }

    /** Guards against a delayed reply that is taken for a proof of the time of its arrival. */
    @Test
    void aReplyCountsFromTheTimeOfItsRequest() {
        long token = requests.next(START).orElseThrow();

        requests.replied(token, 400, at(3000));
        assertThat(freshness.ageMillis(at(3000))).isEqualTo(3400);
        assertThat(freshness.isProven(at(3200))).isFalse();
    }

    /** Guards against a proof by a reply that nobody asked for, or one that states an impossible age. */
    @Test
    void aReplyWithAnUnknownTokenOrAnImpossibleAgeProvesNothing() {
        long token = requests.next(START).orElseThrow();

        requests.replied(token + 1, 0, at(10));
        requests.replied(token, -1000, at(10));
        requests.replied(token, Long.MIN_VALUE, at(10));
        requests.replied(token, Long.MAX_VALUE, at(10));
        assertThat(freshness.isProven(at(10))).isFalse();
    }

    /** Guards against requests that cost more than they bring, and against too few of them. */
    @Test
    void requestsAreSentOnceTheProofIsOldAndNotTooOften() {
        freshness.proven(START, START);

        assertThat(requests.next(at(1399))).isEqualTo(OptionalLong.empty());
        assertThat(requests.next(at(1400)).isPresent()).isTrue();
        assertThat(requests.next(at(1699))).isEqualTo(OptionalLong.empty());
        assertThat(requests.next(at(1700)).isPresent()).isTrue();
    }

    /** Guards against a memory that grows while no relay replies. */
    @Test
    void requestsOfLongAgoAreForgotten() {
        long first = requests.next(START).orElseThrow();
        for (int i = 1; i <= 40; i++) {
            assertThat(requests.next(at(i * 300L)).isPresent()).isTrue();
        }

        requests.replied(first, 0, START);
        assertThat(freshness.isProven(START)).isFalse();
    }
}

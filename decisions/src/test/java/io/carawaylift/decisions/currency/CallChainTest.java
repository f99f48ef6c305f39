package io.carawaylift.decisions.currency;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.decisions.replica.StorePosition;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Chains of calls in virtual time, with response times between 70 and 310 ms as between regions. */
final class CallChainTest {
    private static final long MILLI = 1_000_000;
    private static final Duration WAIT = Duration.ofMillis(1900);

    private final CurrencyTimes times = CurrencyTimes.of(Duration.ofSeconds(4));
    private final CallChain chain = new CallChain(times.responseAllowance());

    /** Guards against a kind that is confirmed to other hosts for seconds after one of its responses was lost. */
    @Test
    void aKindIsNotCurrentFromTheTimeAtWhichItsResponseIsOverdue() {
        chain.sent(0, Duration.ofMillis(1));
        chain.answered(100 * MILLI, MILLI, Duration.ZERO);
        chain.sent(101 * MILLI, WAIT);

        assertThat(chain.isCurrent((101 + 1900 + 799) * MILLI)).isTrue();
        assertThat(chain.isCurrent((101 + 1900 + 800) * MILLI)).isFalse();
    }

    /** Guards against a late response for one kind that hides that a later call is unanswered. */
    @Test
    void anotherCallDoesNotMakeAKindCurrentBeforeItIsAnswered() {
        chain.sent(0, WAIT);
        assertThat(chain.isCurrent(10 * MILLI)).isFalse();
        chain.answered(70 * MILLI, 0, Duration.ZERO);
        chain.unanswered();
        chain.sent(80 * MILLI, WAIT);
        assertThat(chain.isCurrent(90 * MILLI)).isFalse();
        chain.answered(150 * MILLI, 80 * MILLI, Duration.ZERO);

        assertThat(chain.isCurrent(151 * MILLI)).isTrue();
    }

    /** Guards against a host that becomes the relay and confirms what it has not read since long. */
    @Test
    void aHostThatMadeNoCallsForAWhileIsNotCurrentUntilItIsAnswered() {
        chain.sent(0, WAIT);
        chain.answered(70 * MILLI, 0, Duration.ZERO);
        chain.sent(5000 * MILLI, WAIT);

        assertThat(chain.isCurrent(5001 * MILLI)).isFalse();
    }

    /** Guards against a proof that is younger than the state of the store that was read. */
    @Test
    void theProvenTimeNeverGoesBack() {
        assertThat(chain.provenNanos().isPresent()).isFalse();
        chain.answered(2000 * MILLI, 1900 * MILLI, Duration.ZERO);
        chain.answered(2100 * MILLI, 1800 * MILLI, Duration.ZERO);

        assertThat(chain.provenNanos().getAsLong()).isEqualTo(1900 * MILLI);
    }

    /** Guards against durations that exceed the time after which a host has to act on changes. */
    @Test
    void aLostResponseIsReadAgainWithinTheStabilityWindow() {
        for (int windowMillis = 2000; windowMillis <= 10_000; windowMillis += 100) {
            CurrencyTimes each = CurrencyTimes.of(Duration.ofMillis(windowMillis));
            long detectedMillis =
                    each.watchWait().plus(each.responseAllowance()).toMillis();

            assertThat(detectedMillis + 310).isLessThan(windowMillis * 95 / 100);
        }
        assertThat(CurrencyTimes.of(Duration.ofSeconds(3)).watchWait()).isEqualTo(Duration.ofMillis(1650));
        assertThat(times.watchWait()).isEqualTo(Duration.ofMillis(1900));
    }

    /**
     * Guards against a relay that is cut off from the store and goes on to confirm, because the responses of its three
     * chains came at the same time; and against more calls than the 1.67 per second of watches of 1, 3 and 3 seconds.
     */
    @Test
    void responsesOfThreeChainsAreSpreadAtNoMoreCalls() {
        SplittableRandom random = new SplittableRandom(7);
        WatchSpacing spacing = new WatchSpacing(times);
        List<CallChain> chains = new ArrayList<>();
        long[] answersAt = new long[3];
        for (int i = 0; i < 3; i++) {
            chains.add(new CallChain(times.responseAllowance()));
        }
        long end = 600_000 * MILLI;
        long lastAnswer = 0;
        long maxGap = 0;
        int calls = 0;
        for (long now = 0; now < end; now += MILLI) {
            for (int i = 0; i < 3; i++) {
                if (answersAt[i] > now) {
                    continue;
                }
                CallChain each = chains.get(i);
                each.answered(now, now, Duration.ZERO);
                maxGap = now < 10_000 * MILLI ? 0 : Math.max(maxGap, now - lastAnswer);
                lastAnswer = now;
                Duration wait = spacing.waitOf(
                        now, chains.stream().filter(other -> other != each).toList());
                each.sent(now, wait);
                calls++;
                answersAt[i] = now + wait.toNanos() + (70 + random.nextInt(240)) * MILLI;
            }
        }

        assertThat(maxGap / MILLI).isLessThan(1500L);
        assertThat(calls / 600.0).isLessThan(1.67);
    }

    /** Guards against a follower that relies on a relay which the store no longer answers. */
    @Test
    void aConfirmationExpiresByTheAgeOfTheRelaysLastResponse() {
        Confirmation confirmation = new Confirmation(times.confirmationLifetime());
        assertThat(confirmation.remainingNanos(0)).isEqualTo(0);
        confirmation.received(2000 * MILLI, Duration.ofMillis(400));
        confirmation.received(2300 * MILLI, Duration.ofMillis(900));

        assertThat(confirmation.remainingNanos(2300 * MILLI)).isEqualTo(800 * MILLI);
    }

    /** Guards against the end of an evacuation that is acted on before the entries of cold endpoints are known. */
    @Test
    void aRemovalIsHeldUntilTheOtherKindIsKnownUpToItsRevision() {
        HeldRemovals held = new HeldRemovals();
        held.hold("zone-a", new StorePosition(1, 20));
        held.hold("zone-b", new StorePosition(1, 25));
        held.hold("zone-c", new StorePosition(1, 20));
        held.cancel("zone-c");

        assertThat(held.release(new StorePosition(1, 19))).isEmpty();
        assertThat(held.release(new StorePosition(1, 21))).containsExactly("zone-a");
        assertThat(held.release(new StorePosition(1, 30))).containsExactly("zone-b");
        assertThat(held.isEmpty()).isTrue();
    }
}

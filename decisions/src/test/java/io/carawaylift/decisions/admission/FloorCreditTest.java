package io.carawaylift.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class FloorCreditTest {
    private static final double SECOND = 1e9;

    private final FloorCredit credit = new FloorCredit();

    /** Guards against a rank that takes all slots for seconds after it was idle. */
    @Test
    void idleTimeGivesNoCredit() {
        credit.advance(100 * SECOND, 1, false, 0, 0);

        assertThat(credit.mayGoFirst(1, 0)).isFalse();
    }

    /** Guards against a rank that gets no slots for 10 s because it used all of them while no other rank needed them. */
    @Test
    void useOfIdleSlotsCostsAtMostTwoSeconds() {
        credit.advance(100 * SECOND, 1, true, 0, 5);
        credit.advance(1.9 * SECOND, 1, true, 0, 0);
        assertThat(credit.mayGoFirst(1, 0)).isFalse();

        credit.advance(0.2 * SECOND, 1, true, 0, 0);
        assertThat(credit.mayGoFirst(1, 0)).isTrue();
    }

    /** Guards against a rank that uses more slots than its floor as soon as it is behind. */
    @Test
    void aRankUsesOneSlotAboveItsFloorOnlyToCatchUp() {
        credit.advance(0.5 * SECOND, 1, true, 0, 0);
        assertThat(credit.mayGoFirst(1, 1)).isFalse();

        credit.advance(SECOND, 1, true, 0, 0);
        assertThat(credit.mayGoFirst(1, 1)).isTrue();
        assertThat(credit.mayGoFirst(1, 2)).isFalse();
    }
}

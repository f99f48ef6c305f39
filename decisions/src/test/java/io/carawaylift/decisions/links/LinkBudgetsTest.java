package io.carawaylift.decisions.links;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.LinkRow;
import io.carawaylift.model.RegionRow;
import io.carawaylift.model.Table;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class LinkBudgetsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int MBIT_PER_SECOND = 8;
    private static final long SHARE_BYTES_PER_SECOND = MBIT_PER_SECOND * 125_000L / 2;
    private static final Table TABLE = Table.builder()
            .put(new RegionRow("north", 1, 0))
            .put(new RegionRow("south", 1, 0))
            .put(new LinkRow("north", "south", MBIT_PER_SECOND))
            .build();

    private final LinkBudgets budgets = new LinkBudgets("north");

    /** Guards against exceeding the share in any interval of one second, also with reservations larger than the depth. */
    @Test
    void noIntervalOfOneSecondHoldsMoreBytesThanTheShare() {
        budgets.update(TABLE, 2, false, false, 0);
        Random random = new Random(51);
        Deque<long[]> window = new ArrayDeque<>();
        long inWindow = 0;
        long total = 0;
        long now = 0;
        for (int i = 0; i < 20_000; i++) {
            now += random.nextInt(100) == 0 ? 2 * SECOND : random.nextInt(20_000_000);
            int bytes = 1 + random.nextInt(random.nextInt(50) == 0 ? 200_000 : 20_000);
            long sendAt = now + budgets.reserve("south", bytes, now);
            now = sendAt;
            window.add(new long[] {sendAt, bytes});
            inWindow += bytes;
            total += bytes;
            while (window.peek()[0] <= sendAt - SECOND) {
                inWindow -= window.remove()[1];
            }
            assertThat(inWindow).isAtMost(SHARE_BYTES_PER_SECOND);
        }
        assertThat(total).isGreaterThan(SHARE_BYTES_PER_SECOND * (now / SECOND) / 4);
    }

    /** Guards against waits that ignore earlier reservations. */
    @Test
    void reservationsQueueUp() {
        budgets.update(TABLE, 2, false, false, 0);

        long first = budgets.reserve("south", 20_000, 0);
        long second = budgets.reserve("south", 20_000, 0);

        assertThat(first).isGreaterThan(0);
        assertThat(second).isAtLeast(first + 20_000 * SECOND / SHARE_BYTES_PER_SECOND);
        assertThat(budgets.backlogNanos("south", 0)).isGreaterThan(second);
    }

    /** Guards against sending without a share, and against pacing links without a cap. */
    @Test
    void onlyCappedLinksWithAShareArePaced() {
        assertThat(budgets.reserve("south", 1, 0)).isEqualTo(-1);
        assertThat(budgets.reserve("north", 1, 0)).isEqualTo(0);
        budgets.update(TABLE, 2, false, true, 0);
        assertThat(budgets.reserve("south", 1, 0)).isEqualTo(-1);
        assertThat(budgets.backlogNanos("south", 0)).isEqualTo(-1);
        assertThat(budgets.reserve("west", 1 << 30, 0)).isEqualTo(0);
    }

    /** Guards against a process that uses its full share while its lease is unconfirmed. */
    @Test
    void anUnconfirmedLeaseHalvesTheShare() {
        LinkBudgets unconfirmed = new LinkBudgets("north");
        budgets.update(TABLE, 2, false, false, 0);
        unconfirmed.update(TABLE, 2, true, false, 0);

        long confirmedWait = budgets.reserve("south", 10_000, 0);

        assertThat(unconfirmed.reserve("south", 10_000, 0)).isWithin(1).of(2 * confirmedWait);
    }
}

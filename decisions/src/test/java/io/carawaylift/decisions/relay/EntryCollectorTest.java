package io.carawaylift.decisions.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class EntryCollectorTest {
    private static final long SECOND = 1_000_000_000L;

    private final EntryCollector collector = new EntryCollector();

    /** Guards against entries that stay for ever: 1,000 replacements of the hosts of a region, one in 100 seconds. */
    @Test
    void aThousandReplacementsLeaveOnlyTheEntriesOfTheLastMinutes() {
        Set<String> listed = new LinkedHashSet<>();
        List<String> live = new ArrayList<>();
        int mostListed = 0;
        for (int host = 0; host < 1000; host++) {
            listed.add("host-" + host);
            live.add("host-" + host);
            if (live.size() > 6) {
                live.remove(0);
            }
            for (int tick = 0; tick < 100; tick++) {
                long now = (host * 100L + tick) * SECOND;
                collector.update(listed, live::contains, now);
                collector.next(now).ifPresent(listed::remove);
            }
            mostListed = Math.max(mostListed, listed.size());
            assertThat(listed).containsAtLeastElementsIn(live);
        }

        // Six live ones, and one in each 100 s of the 600 s for which the entry of a silent host is kept.
        assertThat(mostListed).isAtMost(6 + 7);
    }

    /** Guards against the removal of a host that restarted or was out of reach for a while. */
    @Test
    void aHostThatIsHeardAgainKeepsItsEntry() {
        Set<String> listed = Set.of("a", "b");
        collector.update(listed, "a"::equals, 0);
        collector.update(listed, host -> true, 599 * SECOND);
        collector.update(listed, "a"::equals, 600 * SECOND);

        assertThat(collector.next(601 * SECOND)).isEmpty();
        assertThat(collector.next(1200 * SECOND)).hasValue("b");
    }

    /** Guards against a relay that hears nobody and removes all entries at once. */
    @Test
    void oneEntryIsRemovedInASecond() {
        Set<String> listed = Set.of("a", "b", "c");
        collector.update(listed, host -> false, 0);

        assertThat(collector.next(600 * SECOND)).isPresent();
        assertThat(collector.next(600 * SECOND + SECOND / 2)).isEmpty();
        assertThat(collector.next(601 * SECOND)).isPresent();
    }
}

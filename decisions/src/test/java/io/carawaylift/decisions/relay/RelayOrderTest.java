package io.carawaylift.decisions.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class RelayOrderTest {
    private final List<String> ordered = RelayOrder.of(List.of("a", "b", "c", "d", "e", "f"));

    /** Guards against hosts that derive different orders from the same names. */
    @Test
    void theOrderDependsOnTheNamesOnly() {
        assertThat(RelayOrder.of(List.of("f", "e", "d", "c", "b", "a"))).isEqualTo(ordered);
    }

    /** Guards against live hosts without a common relay, and against a region with no or two first relays. */
    @Test
    void hostsThatSeeTheSameHostsShareTheirRelays() {
        Random random = new Random(7);
        for (int round = 0; round < 500; round++) {
            Set<String> live = new HashSet<>();
            ordered.forEach(host -> {
                if (random.nextBoolean()) {
                    live.add(host);
                }
            });
            int first = 0;
            int relays = 0;
            for (String host : live) {
                first += RelayOrder.isFirst(ordered, host, live::contains) ? 1 : 0;
                relays += RelayOrder.isRelay(ordered, host, live::contains) ? 1 : 0;
            }

            assertThat(first).isEqualTo(Math.min(1, live.size()));
            assertThat(relays).isEqualTo(Math.min(2, live.size()));
        }
    }

    /** Guards against a lone host that waits for a relay forever. */
    @Test
    void aHostThatSeesNoOtherIsItsOwnRelay() {
        assertThat(RelayOrder.isFirst(ordered, ordered.get(4), host -> false)).isTrue();
    }
}

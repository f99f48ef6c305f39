package io.carawaylift.decisions.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
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

    /** Guards against a host that becomes reachable again unnoticed because no host tries to contact it. */
    @Test
    void unreachableHostsBeforeTheRelaysAreStillContacted() {
        String unreachable = ordered.get(0);
        Set<String> contacts = RelayOrder.contacts(ordered, ordered.get(5), host -> !host.equals(unreachable));

        assertThat(contacts)
                .containsExactly(unreachable, ordered.get(1), ordered.get(2))
                .inOrder();
    }

    /** Guards against a region of unreachable hosts that costs a connection to each of them. */
    @Test
    void theNumberOfContactsIsBounded() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            names.add("host-" + i);
        }

        assertThat(RelayOrder.contacts(RelayOrder.of(names), "host-0", host -> false))
                .hasSize(8);
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

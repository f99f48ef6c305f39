package io.carawaylift.decisions.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Contacts in virtual time; a round is the time after which a host that did not respond counts as silent. */
final class RelayContactsTest {
    /** First message timeout plus the longest report interval. */
    private static final double ROUND_SECONDS = 2.8;

    private final List<String> ordered = RelayOrder.of(List.of("a", "b", "c", "d", "e", "f"));

    /** Guards against a host that becomes reachable again unnoticed because no host tries to contact it. */
    @Test
    void unreachableHostsBeforeTheRelaysAreStillContacted() {
        RelayContacts contacts = new RelayContacts();
        String unreachable = ordered.get(0);
        contacts.silent(unreachable, 1);

        assertThat(contacts.choose(ordered, ordered.get(5), host -> !host.equals(unreachable))
                        .hosts())
                .containsExactly(unreachable, ordered.get(1), ordered.get(2))
                .inOrder();
    }

    /** Guards against a region of unreachable hosts that costs a connection to each of them. */
    @Test
    void theNumberOfContactsIsBounded() {
        RelayContacts contacts = new RelayContacts();
        List<String> names = names("host-", 100);
        List<String> order = RelayOrder.of(names);
        for (int round = 0; round < 40; round++) {
            Set<String> chosen = contacts.choose(order, "host-0", host -> false).hosts();
            assertThat(chosen.size()).isAtMost(6);
            long now = round;
            chosen.forEach(host -> contacts.silent(host, now));
        }
    }

    /** Guards against a host that starts in a healthy region and opens more connections than it needs. */
    @Test
    void aHostThatStartsContactsTheTwoLikelyRelaysOnly() {
        assertThat(new RelayContacts()
                        .choose(ordered, ordered.get(5), host -> false)
                        .hosts())
                .containsExactly(ordered.get(0), ordered.get(1));
    }

    /** Guards against hosts that are tried once and never again. */
    @Test
    void everySilentHostIsTriedAgainInTurn() {
        RelayContacts contacts = new RelayContacts();
        List<String> order = RelayOrder.of(names("host-", 300));
        order.forEach(host -> contacts.silent(host, 0));
        Set<String> tried = new HashSet<>();
        for (int round = 1; round <= 17; round++) {
            long now = round;
            contacts.choose(order, "self", host -> false).hosts().forEach(host -> {
                tried.add(host);
                contacts.silent(host, now);
            });
        }

        assertThat(tried).containsExactlyElementsIn(order);
    }

    /**
     * Guards against entries of replaced hosts that separate the live ones (eight at the front of the order did), in a
     * region of 48 hosts of which 1000 in all are replaced by hosts with other names, without any entry removed.
     */
    @Test
    void aThousandReplacementsDoNotSeparateTheLiveHosts() {
        SplittableRandom random = new SplittableRandom(11);
        List<String> listed = names("host-", 48);
        Map<String, RelayContacts> live = new TreeMap<>();
        Map<String, Map<String, Integer>> heard = new HashMap<>();
        listed.forEach(host -> live.put(host, new RelayContacts()));
        int replaced = 0;
        while (replaced < 1000) {
            for (int i = 0; i < 50; i++, replaced++) {
                String gone = List.copyOf(live.keySet()).get(random.nextInt(live.size()));
                live.remove(gone);
                String next = gone + "-" + replaced;
                live.put(next, new RelayContacts());
                listed.add(next);
            }
            List<String> order = RelayOrder.of(listed);
            int rounds = 0;
            while (!allShareARelay(order, live, heard, rounds)) {
                rounds++;
                playRound(order, live, heard, rounds);
                assertThat(rounds * ROUND_SECONDS).isLessThan(60.0);
            }
        }
    }

    /** Lets each live host contact those that it chooses; only live ones respond. */
    private static void playRound(
            List<String> order, Map<String, RelayContacts> live, Map<String, Map<String, Integer>> heard, int round) {
        live.forEach((host, contacts) -> {
            Map<String, Integer> heardByHost = heard.computeIfAbsent(host, key -> new HashMap<>());
            for (String other : contacts.choose(order, host, each -> heardByHost.getOrDefault(each, -9) >= round - 1)
                    .hosts()) {
                if (live.containsKey(other)) {
                    heardByHost.put(other, round);
                    heard.computeIfAbsent(other, key -> new HashMap<>()).put(host, round);
                    contacts.responded(other);
                    live.get(other).responded(host);
                } else {
                    contacts.silent(other, round);
                }
            }
        });
    }

    /** Returns whether every live host has just heard the first live host of the order, or is that host. */
    private static boolean allShareARelay(
            List<String> order, Map<String, RelayContacts> live, Map<String, Map<String, Integer>> heard, int round) {
        String first = order.stream().filter(live::containsKey).findFirst().orElseThrow();
        return round > 0
                && live.keySet().stream()
                        .allMatch(host -> host.equals(first)
                                || heard.getOrDefault(host, Map.of()).getOrDefault(first, -1) == round);
    }

    private static List<String> names(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(prefix + i);
        }
        return names;
    }
}

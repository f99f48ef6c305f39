package io.carawaylift.decisions.relay;

import io.carawaylift.decisions.fleet.Rendezvous;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Chooses the relays of a region: the first live hosts in an order that all hosts derive from the host names alone.
 * Hosts with different views of which hosts are live may choose different relays. Each host reports to the relays that
 * it chose, and a relay serves every host that reports to it, so no agreement is needed.
 */
public final class RelayOrder {
    /** Relays of a region; the second takes over without a pause when the first fails. */
    public static final int RELAYS_PER_REGION = 2;

    private static final String KEY = "relay";

    private RelayOrder() {}

    /** Returns the hosts of a region, those chosen first in front. */
    public static List<String> of(Collection<String> hosts) {
        List<String> ordered = new ArrayList<>(hosts);
        ordered.sort(Comparator.comparingLong((String host) -> Rendezvous.weight(KEY, host))
                .reversed()
                .thenComparing(Comparator.naturalOrder()));
        return ordered;
    }

    /** Returns whether {@code self} is one of the relays of its region. */
    public static boolean isRelay(List<String> ordered, String self, Predicate<String> live) {
        return liveBefore(ordered, self, live) < RELAYS_PER_REGION;
    }

    /** Returns whether {@code self} is the first relay of its region. */
    public static boolean isFirst(List<String> ordered, String self, Predicate<String> live) {
        return liveBefore(ordered, self, live) == 0;
    }

    private static int liveBefore(List<String> ordered, String self, Predicate<String> live) {
        int before = 0;
        for (String host : ordered) {
            if (host.equals(self)) {
                break;
            }
            before += live.test(host) ? 1 : 0;
        }
        return before;
    }
}

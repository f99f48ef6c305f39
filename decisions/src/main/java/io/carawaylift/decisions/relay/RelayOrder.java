package io.carawaylift.decisions.relay;

import io.carawaylift.decisions.fleet.Rendezvous;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses the relays of a region: the first live hosts of an order that all hosts derive from the names alone. Hosts that
 * see others as live may choose other relays; each host reports to the relays that it chose, and a relay serves every host
 * that reports to it, so nothing has to be agreed on.
 */
public final class RelayOrder {
    /** Relays of a region; the second takes over without a pause when the first is lost. */
    public static final int RELAYS_PER_REGION = 2;

    /** Hosts that are tried at most at once, so that a region of dead hosts does not cost a connection to each. */
    private static final int MAX_CONTACTS = 8;

    private static final String KEY = "relay";

    private RelayOrder() {}

    /** Returns the hosts of a region in the order in which they are chosen. */
    public static List<String> of(Collection<String> hosts) {
        List<String> ordered = new ArrayList<>(hosts);
        ordered.sort(Comparator.comparingLong((String host) -> Rendezvous.weight(KEY, host))
                .reversed()
                .thenComparing(Comparator.naturalOrder()));
        return ordered;
    }

    /**
     * Returns the hosts with which {@code self} keeps in contact: all up to the second live one, so that a host that
     * returns is noticed; the live ones among them are the relays.
     *
     * @param ordered hosts of a region in order
     * @param self this host, which counts as live; it is left out
     * @param live whether a host was heard of, or has not yet had the time to answer
     */
    public static Set<String> contacts(List<String> ordered, String self, Predicate<String> live) {
        Set<String> contacts = new LinkedHashSet<>();
        int relays = 0;
        for (String host : ordered) {
            if (relays == RELAYS_PER_REGION || contacts.size() == MAX_CONTACTS) {
                break;
            }
            boolean own = host.equals(self);
            if (!own) {
                contacts.add(host);
            }
            if (own || live.test(host)) {
                relays++;
            }
        }
        return contacts;
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

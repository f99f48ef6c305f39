package io.carawaylift.decisions.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses the hosts with which a host keeps in contact: the first two live ones in the order of a region, and those before
 * them that may be live. Hosts that did not respond are tried again in turn, so that any number of entries of hosts that
 * are gone delays the contact of live hosts but does not prevent it. Not thread-safe.
 */
public final class RelayContacts {
    /** Bound on the hosts that are tried at once in a small region; with two live ones it makes eight contacts. */
    private static final int MIN_TRIED_AT_ONCE = 6;

    /** In a large region, all entries are tried within this number of rounds. */
    private static final int MAX_ROUNDS = 16;

    /** Time of the last contact without a response, by host. */
    private final Map<String, Long> silentSince = new HashMap<>();

    /**
     * The hosts to keep in contact with.
     *
     * @param hosts live ones and those that are tried
     * @param searching whether a host that was not tried yet may come before the relays, so that the live hosts of the
     *     region are not known yet
     */
    public record Contacts(Set<String> hosts, boolean searching) {}

    /** Creates an instance to which no host is known as silent. */
    public RelayContacts() {}

    /** Records that a host did not respond to a contact. */
    public void silent(String host, long nowNanos) {
        silentSince.put(host, nowNanos);
    }

    /** Records that a host sent a message, or that its entry changed. */
    public void responded(String host) {
        silentSince.remove(host);
    }

    /** Returns the number of hosts that did not respond to the last contact. */
    public int silentHosts() {
        return silentSince.size();
    }

    /** Returns whether a host did not respond to the last contact. */
    public boolean isSilent(String host) {
        return silentSince.containsKey(host);
    }

    /**
     * Returns the hosts of a region with which {@code self} keeps in contact.
     *
     * @param ordered hosts of the region in order
     * @param self this host, which counts as live and is not returned
     * @param responding whether a host has sent a message recently
     */
    public Contacts choose(List<String> ordered, String self, Predicate<String> responding) {
        Set<String> contacts = new LinkedHashSet<>();
        List<String> untried = new ArrayList<>();
        List<String> silent = new ArrayList<>();
        int relays = 0;
        for (String host : ordered) {
            if (relays == RelayOrder.RELAYS_PER_REGION) {
                break;
            }
            if (host.equals(self)) {
                relays++;
            } else if (responding.test(host)) {
                contacts.add(host);
                relays++;
            } else if (isSilent(host)) {
                silent.add(host);
            } else {
                untried.add(host);
                // Without a sign of hosts that are gone, only the likely relays are contacted.
                relays += silent.isEmpty() ? 1 : 0;
            }
        }
        int free = Math.max(MIN_TRIED_AT_ONCE, ordered.size() / MAX_ROUNDS);
        silent.sort(Comparator.comparingLong(silentSince::get));
        untried.stream().limit(free).forEach(contacts::add);
        silent.stream().limit(Math.max(0, free - untried.size())).forEach(contacts::add);
        return new Contacts(inOrder(ordered, contacts), !untried.isEmpty());
    }

    private static Set<String> inOrder(List<String> ordered, Set<String> hosts) {
        Set<String> sorted = new LinkedHashSet<>(ordered);
        sorted.retainAll(hosts);
        return sorted;
    }
}

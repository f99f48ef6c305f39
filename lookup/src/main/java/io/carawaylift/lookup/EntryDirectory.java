package io.carawaylift.lookup;

import io.carawaylift.model.Member;
import io.carawaylift.model.MemberState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Orders entry hosts for a client: first those of its site, then those of its region, then all others. Within each
 * group the order is a rendezvous hash of client and host, so that clients spread evenly and keep their host when other
 * hosts are added or removed. Immutable.
 */
final class EntryDirectory {
    /** Enough hosts to retry elsewhere if one or two have failed since the lookup. */
    private static final int MAX_ENTRY_HOSTS = 4;

    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int HASH_SHIFT = 32;

    private final List<Member> members;

    private EntryDirectory(List<Member> members) {
        this.members = members;
    }

    /** Returns a directory of the active members, or of the suspected ones if none is active. */
    static EntryDirectory of(Collection<Member> members) {
        List<Member> active = membersInState(members, MemberState.ACTIVE);
        return new EntryDirectory(active.isEmpty() ? membersInState(members, MemberState.SUSPECTED) : active);
    }

    private static List<Member> membersInState(Collection<Member> members, MemberState state) {
        return members.stream().filter(member -> member.state() == state).toList();
    }

    /** Returns up to four entry hosts in the order in which the client should try them; empty if there is none. */
    List<Member> choose(int client, String site, String region) {
        List<Member> ordered = new ArrayList<>(members);
        ordered.sort(Comparator.comparingInt((Member member) -> distance(member, site, region))
                .thenComparingLong(member -> hash(client, member)));
        return ordered.subList(0, Math.min(MAX_ENTRY_HOSTS, ordered.size()));
    }

    /** Returns the region of a site, or {@code fallback} if no member is at the site. */
    String regionOf(String site, String fallback) {
        return members.stream()
                .filter(member -> member.site().equals(site))
                .map(Member::region)
                .findFirst()
                .orElse(fallback);
    }

    private static int distance(Member member, String site, String region) {
        if (member.site().equals(site)) {
            return 0;
        }
        return member.region().equals(region) ? 1 : 2;
    }

    private static long hash(int client, Member member) {
        long hash = (((long) client << HASH_SHIFT) ^ member.process().host().hashCode()) * HASH_MULTIPLIER;
        hash ^= hash >>> HASH_SHIFT;
        return hash * HASH_MULTIPLIER;
    }
}

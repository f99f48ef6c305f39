package io.carawaylift.lookup;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberState;
import java.util.List;
import org.junit.jupiter.api.Test;

final class EntryDirectoryTest {
    private static final int CLIENTS = 3_000;

    @Test
    void hostsOfTheClientsSiteComeFirstThenItsRegion() {
        EntryDirectory directory = EntryDirectory.of(List.of(
                member("far", "huye", "huye-a", MemberState.ACTIVE),
                member("near", "kigali", "kigali-b", MemberState.ACTIVE),
                member("here", "kigali", "kigali-a", MemberState.ACTIVE)));

        assertThat(hosts(directory.choose(1, "kigali-a", "kigali")))
                .containsExactly("here", "near", "far")
                .inOrder();
    }

    /** Guards against sending callers to a host that is draining or does not respond. */
    @Test
    void onlyActiveHostsAreReturned() {
        EntryDirectory directory = EntryDirectory.of(List.of(
                member("a", "kigali", "kigali-a", MemberState.LEAVING),
                member("b", "kigali", "kigali-a", MemberState.SUSPECTED),
                member("c", "kigali", "kigali-a", MemberState.JOINING),
                member("d", "kigali", "kigali-b", MemberState.ACTIVE)));

        assertThat(hosts(directory.choose(1, "kigali-a", "kigali"))).containsExactly("d");
    }

    @Test
    void suspectedHostsAreReturnedWhenNoneIsActive() {
        EntryDirectory directory = EntryDirectory.of(List.of(member("b", "kigali", "kigali-a", MemberState.SUSPECTED)));

        assertThat(hosts(directory.choose(1, "kigali-a", "kigali"))).containsExactly("b");
    }

    /** Guards against a hash that assigns most clients of a site to one host. */
    @Test
    void clientsOfASiteSpreadEvenlyOverItsHosts() {
        EntryDirectory directory = EntryDirectory.of(List.of(
                member("e1", "kigali", "kigali-a", MemberState.ACTIVE),
                member("e2", "kigali", "kigali-a", MemberState.ACTIVE),
                member("e3", "kigali", "kigali-a", MemberState.ACTIVE)));

        int clientsOfE1 = 0;
        for (int client = 0; client < CLIENTS; client++) {
            if (hosts(directory.choose(client, "kigali-a", "kigali")).get(0).equals("e1")) {
                clientsOfE1++;
            }
        }

        assertThat(clientsOfE1).isAtLeast(CLIENTS / 3 * 8 / 10);
        assertThat(clientsOfE1).isAtMost(CLIENTS / 3 * 12 / 10);
    }

    private static List<String> hosts(List<Member> members) {
        return members.stream().map(member -> member.process().host()).toList();
    }

    private static Member member(String host, String region, String site, MemberState state) {
        return new Member(
                new EntryProcess(host, 1),
                region,
                site,
                site,
                "http://127.0.0.1:1",
                "http://127.0.0.1:2",
                "http://127.0.0.1:3",
                "127.0.0.1:4",
                state);
    }
}

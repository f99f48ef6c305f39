package io.carawaylift.decisions.steering;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.decisions.steering.OwnerSelector.Candidate;
import io.carawaylift.model.EntryProcess;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

final class OwnerSelectorTest {
    private final OwnerSelector selector = new OwnerSelector();

    /** Guards against ignoring the number of slots, which overloads owners with few of them. */
    @Test
    void theLeastLoadedOwnerPerSlotIsChosen() {
        List<Candidate> owners = List.of(owner("none", 0, 0), owner("small", 3, 3), owner("large", 10, 8));

        assertThat(selector.choose(owners, 1)).hasValue(new EntryProcess("large", 1));
        assertThat(selector.choose(List.of(owner("none", 0, 0)), 1)).isEmpty();
    }

    /** Guards against ties that always select the first owner. */
    @Test
    void tiesAreSpreadBySeed() {
        List<Candidate> owners = List.of(owner("a", 2, 0), owner("b", 4, 0), owner("c", 1, 0));
        Set<String> chosen = new TreeSet<>();
        for (long seed = 0; seed < 20; seed++) {
            chosen.add(selector.choose(owners, seed).orElseThrow().host());
        }
        assertThat(chosen).containsExactly("a", "b", "c");
    }

    private static Candidate owner(String host, int slots, int outstanding) {
        return new Candidate(new EntryProcess(host, 1), slots, outstanding);
    }
}

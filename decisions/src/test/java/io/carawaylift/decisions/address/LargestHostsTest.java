package io.carawaylift.decisions.address;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

final class LargestHostsTest {
    private static List<Double> chosen(List<Double> sizes) {
        return LargestHosts.of(sizes, size -> size);
    }

    /** Guards against sending all callers to some of several hosts of the same size. */
    @Test
    void hostsOfOneSizeAreAllChosen() {
        List<Double> sizes = Collections.nCopies(9, 0.6);

        assertThat(chosen(sizes)).isEqualTo(sizes);
    }

    /** Guards against sending callers to hosts of a fifth of the size while large hosts have free capacity. */
    @Test
    void largeHostsAreChosenIfTheyHaveHalfOfTheCapacity() {
        List<Double> sizes = new ArrayList<>(Collections.nCopies(17, 0.3));
        sizes.addAll(Collections.nCopies(4, 1.5));

        assertThat(chosen(sizes)).isEqualTo(Collections.nCopies(4, 1.5));
    }

    /** Guards against sending the load of many small hosts to a single large one. */
    @Test
    void smallHostsAreChosenTooIfTheLargeOnesHaveLessThanHalf() {
        List<Double> sizes = new ArrayList<>(Collections.nCopies(17, 0.3));
        sizes.add(1.5);

        assertThat(chosen(sizes)).hasSize(18);
    }

    /** Guards against choosing too few hosts to tolerate the failure of one. */
    @Test
    void atLeastFourHostsAreChosenIfAvailable() {
        assertThat(chosen(List.of(9.0, 1.0, 0.9, 0.8, 0.7))).containsExactly(9.0, 1.0, 0.9, 0.8);
        assertThat(chosen(List.of(9.0, 1.0))).containsExactly(9.0, 1.0);
        assertThat(chosen(List.of())).isEmpty();
    }
}

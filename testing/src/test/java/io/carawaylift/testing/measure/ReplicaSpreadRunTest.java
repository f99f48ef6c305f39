package io.carawaylift.testing.measure;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReplicaSpreadRunTest {
    /** Guards against hosts that keep or return to an old table after an outage, a partition and many replacements. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void allHostsConvergeToTheNewestTable(long seed) {
        assertThat(ReplicaSpreadRun.runSeed(seed)).isGreaterThan(0);
    }
}

package io.carawaylift.testing.measure;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class OwnershipRunTest {
    /** Guards against endpoints with more requests than slots and endpoints that never regain an owner of all slots. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 204, 10752, 20046})
    void noEndpointIsOverloadedAndAllRecover(long seed) {
        OwnershipRun.runSeed(seed, Set.of());
    }

    /** Guards against a simulation that does not detect the fault that a rule prevents. With all rules these seeds pass. */
    @ParameterizedTest
    @CsvSource({
        "3, WAIT_AFTER_TAKEOVER, in flight",
        "6, OWNERS_READ_AFTER_WRITE, in flight",
        "204, EPOCH_OF_RELEASE, in flight",
        "6, RELEASE_BY_EARLIER_OWNER, not served in full"
    })
    void violationIsFoundWhenARuleIsDisabled(long seed, SimulatedRule rule, String expectedMessage) {
        CarawayliftException failure =
                assertThrows(CarawayliftException.class, () -> OwnershipRun.runSeed(seed, Set.of(rule)));
        assertThat(failure.code()).isEqualTo(ResultCode.INVARIANT_VIOLATED);
        assertThat(failure).hasMessageThat().contains(expectedMessage);
    }
}

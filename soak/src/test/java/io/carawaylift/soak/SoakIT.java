package io.carawaylift.soak;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks every guarantee of the ledger in two short runs with fixed seeds: planned work only, and all faults. */
final class SoakIT {
    private static final long FAULT_MILLIS = 8000;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    Path directory;

    @ParameterizedTest
    @ValueSource(longs = {4, 5})
    void noGuaranteeIsViolated(long seed) throws IOException, InterruptedException {
        SoakRun.Result result = Soak.run(seed, FAULT_MILLIS, directory);

        assertWithMessage("seed " + seed).that(result.violations()).isEmpty();
        assertWithMessage("successful requests").that(result.successes()).isAtLeast(result.requests() / 2);
    }
}

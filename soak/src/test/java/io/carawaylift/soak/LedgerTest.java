package io.carawaylift.soak;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a ledger that overlooks violations, with which the soak could never fail. */
final class LedgerTest {
    private final Ledger ledger = new Ledger();

    private void sent(String id, boolean unsafe) {
        ledger.recordSent(id, "/path/" + id, unsafe, 0);
    }

    @Test
    void aValidRequestViolatesNothing() {
        sent("a", true);
        ledger.recordRun("a", "e-1", "/path/a");
        ledger.recordOutcome("a", 200, "");

        assertThat(ledger.violations(true)).isEmpty();
        assertThat(ledger.successes()).isEqualTo(1);
    }

    @Test
    void aSecondRunIsAViolationForUnsafeRequestsOnly() {
        sent("a", true);
        sent("b", false);
        for (String id : new String[] {"a", "a", "b", "b"}) {
            ledger.recordRun(id, "e-1", "/path/" + id);
        }

        assertThat(ledger.violations(false)).hasSize(1);
    }

    @Test
    void aNotRunStatusForARequestThatRanIsAViolation() {
        sent("a", true);
        ledger.recordRun("a", "e-1", "/path/a");
        ledger.recordOutcome("a", 503, "");

        assertThat(ledger.violations(false)).hasSize(1);
    }

    @Test
    void aRunWithoutARequestAndAChangedPathAreViolations() {
        sent("a", false);
        ledger.recordRun("a", "e-1", "/other");
        ledger.recordRun("x", "e-1", "/path/x");

        assertThat(ledger.violations(false)).hasSize(2);
    }

    @Test
    void aMissingResponseIsAViolationDuringPlannedWorkOnly() {
        sent("a", true);
        ledger.recordRun("a", "e-1", "/path/a");
        ledger.recordOutcome("a", 0, "");

        assertThat(ledger.violations(false)).isEmpty();
        assertThat(ledger.violations(true)).hasSize(1);
    }

    private void runLongAfterDrainStarted() throws InterruptedException {
        ledger.recordDraining("e-1");
        Thread.sleep(2600);
        sent("a", false);
        ledger.recordRun("a", "e-1", "/path/a");
    }

    @Test
    void aLateRequestToADrainingEndpointIsAViolationDespiteALaterDisturbance() throws InterruptedException {
        runLongAfterDrainStarted();
        ledger.recordDisturbance(0, 1000);

        assertThat(ledger.violations(false)).hasSize(1);
    }

    @Test
    void aDisturbanceOfTheSameHostExcusesALateRequestButOneOfAnotherHostDoesNot() throws InterruptedException {
        ledger.recordDisturbance(1, 100);
        runLongAfterDrainStarted();
        assertThat(ledger.violations(false)).hasSize(1);

        Ledger disturbedLedger = new Ledger();
        disturbedLedger.recordDisturbance(0, 100);
        disturbedLedger.recordDraining("e-1");
        Thread.sleep(2600);
        disturbedLedger.recordSent("a", "/path/a", false, 0);
        disturbedLedger.recordRun("a", "e-1", "/path/a");
        assertThat(disturbedLedger.violations(false)).isEmpty();
    }
}

package io.carawaylift.soak;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a soak that cannot fail. */
final class LedgerTest {
    private final Ledger ledger = new Ledger();

    private void sent(String id, boolean unsafe) {
        ledger.sending(id, "/path/" + id, unsafe, 0);
    }

    @Test
    void aSoundRequestBreaksNothing() {
        sent("a", true);
        ledger.running("a", "e-1", "/path/a");
        ledger.ended("a", 200, "");

        assertThat(ledger.check(true)).isEmpty();
        assertThat(ledger.answered()).isEqualTo(1);
    }

    @Test
    void aSecondRunIsFoundUnlessTheKindAllowsIt() {
        sent("a", true);
        sent("b", false);
        for (String id : new String[] {"a", "a", "b", "b"}) {
            ledger.running(id, "e-1", "/path/" + id);
        }

        assertThat(ledger.check(false)).hasSize(1);
    }

    @Test
    void aRefusalOfARequestThatRanIsFound() {
        sent("a", true);
        ledger.running("a", "e-1", "/path/a");
        ledger.ended("a", 503, "");

        assertThat(ledger.check(false)).hasSize(1);
    }

    @Test
    void aRunThatNoCallerAskedForAndAChangedPathAreFound() {
        sent("a", false);
        ledger.running("a", "e-1", "/other");
        ledger.running("x", "e-1", "/path/x");

        assertThat(ledger.check(false)).hasSize(2);
    }

    @Test
    void aRequestThatEndsWithoutAnAnswerIsFoundDuringPlannedWorkOnly() {
        sent("a", true);
        ledger.running("a", "e-1", "/path/a");
        ledger.ended("a", 0, "");

        assertThat(ledger.check(false)).isEmpty();
        assertThat(ledger.check(true)).hasSize(1);
    }

    private void runLongAfterItsEndpointLeft() throws InterruptedException {
        ledger.leaving("e-1");
        Thread.sleep(2600);
        sent("a", false);
        ledger.running("a", "e-1", "/path/a");
    }

    @Test
    void aRequestAfterAnEndpointLeftIsFoundAlsoIfADisturbanceCameLater() throws InterruptedException {
        runLongAfterItsEndpointLeft();
        ledger.disturbed(0, 1000);

        assertThat(ledger.check(false)).hasSize(1);
    }

    @Test
    void aDisturbanceOfTheHostExcusesALateRequestAndOneOfAnotherHostDoesNot() throws InterruptedException {
        ledger.disturbed(1, 100);
        runLongAfterItsEndpointLeft();
        assertThat(ledger.check(false)).hasSize(1);

        Ledger disturbed = new Ledger();
        disturbed.disturbed(0, 100);
        disturbed.leaving("e-1");
        Thread.sleep(2600);
        disturbed.sending("a", "/path/a", false, 0);
        disturbed.running("a", "e-1", "/path/a");
        assertThat(disturbed.check(false)).isEmpty();
    }
}

package io.carawaylift.decisions.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
    /** Guards against retries that amplify an overload. */
    @Test
    void retriesNeverExceedTheFractionOfFirstAttempts() {
        RetryBudget budget = new RetryBudget(0.1);
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.firstAttempt();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertThat(retries).isEqualTo(100);
    }

    /** Guards against a burst of retries that were saved while there were no failures. */
    @Test
    void savedRetriesAreBounded() {
        RetryBudget budget = new RetryBudget(1);
        for (int i = 0; i < 1_000; i++) {
            budget.firstAttempt();
        }
        int retries = 0;
        while (budget.tryRetry()) {
            retries++;
        }
        assertThat(retries).isEqualTo(20);
    }
}

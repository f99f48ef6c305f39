package io.carawaylift.decisions.quota;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.decisions.customer.Customer;
import io.carawaylift.model.QuotaCount;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** One host's decisions. Load: a customer with up to 60 requests in a window of 5 s. */
final class CustomerQuotasTest {
    private static final QuotaTerms TERMS = new QuotaTerms(QuotaSimulation.seconds(5), 0, 0);

    private final CustomerQuotas quotas = CustomerQuotas.builder()
            .terms(TERMS)
            .random(new SplittableRandom(1))
            .firstReport(QuotaExchange.firstReport(1000))
            .build();

    private static Customer customer(double requestsPerSecond) {
        return new Customer("customer", OptionalInt.empty(), requestsPerSecond, 0, Set.of());
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private int admit(Customer customer, int requests, long nowNanos) {
        int admitted = 0;
        for (int i = 0; i < requests; i++) {
            admitted += quotas.tryAdmit(customer, nowNanos).admitted() ? 1 : 0;
        }
        return admitted;
    }

    @Test
    void aSingleHostAdmitsTheLimitInEachWindow() {
        assertThat(admit(customer(2), 30, 0)).isEqualTo(10);
        assertThat(admit(customer(2), 30, millis(4900))).isEqualTo(0);
        assertThat(admit(customer(2), 30, millis(5200))).isEqualTo(10);
    }

    @Test
    void aCustomerWithoutALimitIsAlwaysAdmitted() {
        assertThat(admit(customer(0), 1000, 0)).isEqualTo(1000);
    }

    /** Guards against a Retry-After that leads to another refusal. */
    @Test
    void aRefusedRequestIsAdmittedAfterTheWait() {
        admit(customer(2), 5, 0);
        admit(customer(2), 5, millis(1000));
        CustomerQuotas.Admission refused = quotas.tryAdmit(customer(2), millis(2000));
        assertThat(refused.admitted()).isFalse();
        assertThat(refused.waitMillis()).isAtLeast(3000);
        assertThat(refused.waitMillis()).isAtMost(3200);
        assertThat(quotas.tryAdmit(customer(2), millis(2000 + refused.waitMillis()))
                        .admitted())
                .isTrue();
    }

    /** Guards against refused callers that all return for the same permit. */
    @Test
    void requestsThatAreRefusedTogetherGetDifferentTimes() {
        admit(customer(2), 10, 0);
        long first = quotas.tryAdmit(customer(2), millis(4000)).waitMillis();
        long second = quotas.tryAdmit(customer(2), millis(4000)).waitMillis();
        assertThat(second - first).isAtLeast(400);
    }

    @Test
    void aReturnedPermitIsGrantedAgain() {
        assertThat(admit(customer(2), 10, millis(100))).isEqualTo(10);
        quotas.giveBack(customer(2), millis(100), millis(300));
        assertThat(admit(customer(2), 5, millis(300))).isEqualTo(1);
    }

    /** Guards against a request that waits after its admission and runs in a later window than it counts in. */
    @Test
    void aRequestCountsInTheWindowInWhichItIsSent() {
        assertThat(admit(customer(2), 10, millis(0))).isEqualTo(10);
        quotas.sent(customer(2), millis(0), millis(600));
        assertThat(admit(customer(2), 20, millis(5200))).isEqualTo(9);
        assertThat(admit(customer(2), 20, millis(5800))).isEqualTo(1);
    }

    /** Guards against admissions under an old limit that do not count against a lower one. */
    @Test
    void aLowerLimitCountsWhatWasAdmittedBefore() {
        assertThat(admit(customer(4), 15, 0)).isEqualTo(15);
        assertThat(admit(customer(2), 5, millis(1000))).isEqualTo(0);
        assertThat(admit(customer(2), 20, millis(5200))).isEqualTo(10);
    }

    /** Guards against a host that uses the whole limit although others share it. */
    @Test
    void aHostWithoutCountsAdmitsItsListedPart() {
        quotas.setListedHosts(10);
        assertThat(admit(customer(20), 100, 0)).isEqualTo(10);
    }

    @Test
    void aHostAdmitsItsShareOfWhatRemains() {
        quotas.setListedHosts(2);
        Customer customer = customer(20);
        assertThat(admit(customer, 10, 0)).isEqualTo(10);
        OwnCounts own = quotas.counts(millis(10));
        quotas.update("relay", own.report(), totals(2, 60, 40), millis(100));
        int admitted = admit(customer, 100, millis(200));
        assertThat(admitted).isAtLeast(8);
        assertThat(admitted).isAtMost(16);
    }

    /** Guards against sums that were delayed in a broken link or held by a frozen host. */
    @Test
    void sumsThatIncludeNoRecentReportAreIgnored() {
        quotas.setListedHosts(2);
        OwnCounts own = quotas.counts(0);
        quotas.counts(millis(3000));
        quotas.update("relay", own.report(), totals(2, 0, 1), millis(3100));
        assertThat(quotas.ageNanos(millis(3100))).isEqualTo(Long.MAX_VALUE);
        assertThat(admit(customer(20), 100, millis(3100))).isEqualTo(50);
    }

    private static QuotaTotals totals(int hosts, int admitted, int arrived) {
        return new QuotaTotals(hosts, Map.of("customer", new QuotaCount(admitted, 0, 0, 0, 0, arrived)));
    }
}

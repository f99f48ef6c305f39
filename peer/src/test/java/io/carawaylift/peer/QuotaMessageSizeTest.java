package io.carawaylift.peer;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.model.QuotaCount;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against counts that grow beyond what docs/CAPACITY.md states. Load: 76 customers with names of 12 characters. */
final class QuotaMessageSizeTest {
    private static Map<String, QuotaCount> counts(int customers, int admitted) {
        Map<String, QuotaCount> counts = new HashMap<>();
        for (int i = 0; i < customers; i++) {
            counts.put(
                    "customer-%03d".formatted(i),
                    new QuotaCount(admitted, admitted / 20, admitted / 20, admitted / 20, admitted / 20, admitted));
        }
        return counts;
    }

    @Test
    void aReportOfAHostWithThirtyCustomersIsSmall() {
        int bytes = MessageCodec.encode(new Message.QuotaReport(1L << 60, counts(30, 3))).length;
        assertThat(bytes).isEqualTo(614);
    }

    @Test
    void sumsOfAllCustomersAreSmall() {
        int bytes = MessageCodec.encode(new Message.QuotaSums(1L << 60, 1L << 60, 67, counts(76, 60))).length;
        assertThat(bytes).isEqualTo(1544);
    }
}

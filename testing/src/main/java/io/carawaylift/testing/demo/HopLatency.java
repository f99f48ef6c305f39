package io.carawaylift.testing.demo;

import io.carawaylift.model.Headers;
import io.carawaylift.model.Ownership;
import io.carawaylift.testing.demo.SitePlan.ServicePlan;
import io.carawaylift.testing.http.HttpCalls;
import io.carawaylift.testing.upstream.EchoResponseBody;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import okhttp3.Request;
import org.HdrHistogram.Histogram;

/**
 * Measures the latency that entry programs add. Direct calls and calls through entry programs alternate, so that both run
 * under the same conditions on the machine.
 */
final class HopLatency {
    private static final int WARM_UP_CALLS = 1_500;
    private static final int CALLS = 6_000;
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final String PATH = "/ping?bytes=400";

    private final RunningSite site;
    private final HttpCalls http = new HttpCalls(5_000);
    private final Histogram direct = new Histogram(MAX_LATENCY_MICROS, 3);
    private final Histogram oneHop = new Histogram(MAX_LATENCY_MICROS, 3);
    private final Histogram twoHops = new Histogram(MAX_LATENCY_MICROS, 3);
    private long failed;

    HopLatency(RunningSite site) {
        this.site = site;
    }

    Map<String, Object> measure() {
        Map<String, String> owners = ownerByEndpoint();
        ServicePlan service = site.plan().services().get(0);
        for (int number = 0; number < WARM_UP_CALLS + CALLS; number++) {
            boolean recorded = number >= WARM_UP_CALLS;
            EntryHost host = site.hosts().get(number % site.hosts().size());
            SitePlan.Domain domain = host.domain();
            callDirect(site.endpointUrl(service, domain, 0), recorded);
            callThrough(host, service, owners, recorded);
        }
        Map<String, Object> facts = new LinkedHashMap<>();
        facts.put("direct", describeLatency(direct));
        facts.put("one entry process", describeLatency(oneHop));
        facts.put("two entry processes", describeLatency(twoHops));
        facts.put("added by the first process, median ms", medianDifferenceMillis(direct, oneHop));
        facts.put("added by the second process, median ms", medianDifferenceMillis(oneHop, twoHops));
        facts.put("failed calls", failed);
        return facts;
    }

    private void callDirect(String url, boolean recorded) {
        long start = System.nanoTime();
        http.get(url + PATH);
        record(direct, System.nanoTime() - start, recorded);
    }

    private void callThrough(EntryHost host, ServicePlan service, Map<String, String> owners, boolean recorded) {
        Request.Builder request = new Request.Builder()
                .url(host.entryUrl() + "/" + service.name() + PATH)
                .header(Headers.CUSTOMER, site.plan().customers().get(0));
        long start = System.nanoTime();
        HttpCalls.TextResponse response = http.send(request);
        long nanos = System.nanoTime() - start;
        Optional<String> owner = EchoResponseBody.endpointOf(response.text().getBytes(StandardCharsets.UTF_8))
                .map(owners::get);
        if (response.status() != 200 || owner.isEmpty()) {
            failed++;
        } else {
            Histogram histogram = owner.get().equals(host.id()) ? oneHop : twoHops;
            record(histogram, nanos, recorded);
        }
    }

    private static void record(Histogram histogram, long nanos, boolean recorded) {
        if (recorded) {
            histogram.recordValue(nanos / 1000);
        }
    }

    private Map<String, String> ownerByEndpoint() {
        Map<String, String> owners = new HashMap<>();
        for (SitePlan.Domain domain : site.plan().domains()) {
            site.platform().owners(domain.name()).ifPresent(record -> {
                for (Ownership ownership : record.endpoints()) {
                    owners.put(ownership.endpoint(), ownership.owner().host());
                }
            });
        }
        return owners;
    }

    private static String describeLatency(Histogram histogram) {
        return "%d calls, median %.3f ms, 99 %% %.3f ms"
                .formatted(
                        histogram.getTotalCount(),
                        histogram.getValueAtPercentile(50) / 1000.0,
                        histogram.getValueAtPercentile(99) / 1000.0);
    }

    private static double medianDifferenceMillis(Histogram baseline, Histogram compared) {
        return (compared.getValueAtPercentile(50) - baseline.getValueAtPercentile(50)) / 1000.0;
    }
}

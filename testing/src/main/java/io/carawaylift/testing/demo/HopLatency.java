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

/** Compares calls through entry programs with direct calls, sent in turn so that both meet the same machine. */
final class HopLatency {
    private static final int WARM_UP = 1_500;
    private static final int CALLS = 6_000;
    private static final long MAX_MICROS = 60_000_000;
    private static final String PATH = "/ping?bytes=400";

    private final Fleet fleet;
    private final HttpCalls http = new HttpCalls(5_000);
    private final Histogram direct = new Histogram(MAX_MICROS, 3);
    private final Histogram oneHop = new Histogram(MAX_MICROS, 3);
    private final Histogram twoHops = new Histogram(MAX_MICROS, 3);
    private long failed;

    HopLatency(Fleet fleet) {
        this.fleet = fleet;
    }

    Map<String, Object> measure() {
        Map<String, String> owners = ownerByEndpoint();
        ServicePlan service = fleet.plan().services().get(0);
        for (int number = 0; number < WARM_UP + CALLS; number++) {
            boolean counted = number >= WARM_UP;
            EntryHost host = fleet.hosts().get(number % fleet.hosts().size());
            SitePlan.Domain domain = host.domain();
            callDirect(fleet.endpointUrl(service, domain, 0), counted);
            callThrough(host, service, owners, counted);
        }
        Map<String, Object> facts = new LinkedHashMap<>();
        facts.put("direct", describe(direct));
        facts.put("one entry process", describe(oneHop));
        facts.put("two entry processes", describe(twoHops));
        facts.put("added by the first process, median ms", added(direct, oneHop));
        facts.put("added by the second process, median ms", added(oneHop, twoHops));
        facts.put("failed calls", failed);
        return facts;
    }

    private void callDirect(String url, boolean counted) {
        long start = System.nanoTime();
        http.get(url + PATH);
        record(direct, System.nanoTime() - start, counted);
    }

    private void callThrough(EntryHost host, ServicePlan service, Map<String, String> owners, boolean counted) {
        Request.Builder request = new Request.Builder()
                .url(host.entryUrl() + "/" + service.name() + PATH)
                .header(Headers.CUSTOMER, fleet.plan().customers().get(0));
        long start = System.nanoTime();
        HttpCalls.Answer answer = http.send(request);
        long nanos = System.nanoTime() - start;
        Optional<String> owner = EchoResponseBody.endpointOf(answer.text().getBytes(StandardCharsets.UTF_8))
                .map(owners::get);
        if (answer.status() != 200 || owner.isEmpty()) {
            failed++;
        } else {
            Histogram histogram = owner.get().equals(host.id()) ? oneHop : twoHops;
            record(histogram, nanos, counted);
        }
    }

    private static void record(Histogram histogram, long nanos, boolean counted) {
        if (counted) {
            histogram.recordValue(nanos / 1000);
        }
    }

    private Map<String, String> ownerByEndpoint() {
        Map<String, String> owners = new HashMap<>();
        for (SitePlan.Domain domain : fleet.plan().domains()) {
            fleet.platform().owners(domain.name()).ifPresent(record -> {
                for (Ownership ownership : record.endpoints()) {
                    owners.put(ownership.endpoint(), ownership.owner().host());
                }
            });
        }
        return owners;
    }

    private static String describe(Histogram histogram) {
        return "%d calls, median %.3f ms, 99 %% %.3f ms"
                .formatted(
                        histogram.getTotalCount(),
                        histogram.getValueAtPercentile(50) / 1000.0,
                        histogram.getValueAtPercentile(99) / 1000.0);
    }

    private static double added(Histogram less, Histogram more) {
        return (more.getValueAtPercentile(50) - less.getValueAtPercentile(50)) / 1000.0;
    }
}

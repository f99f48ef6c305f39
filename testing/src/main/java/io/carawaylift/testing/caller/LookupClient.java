package io.carawaylift.testing.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.carawaylift.testing.http.HttpCalls;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Looks up the entry programs for one client address and caches the result for its lifetime. If a lookup program fails,
 * the next one is queried; if all fail, the expired result stays in use. Thread-safe.
 */
final class LookupClient {
    private static final long RETRY_INTERVAL_MILLIS = 200;

    private final HttpCalls http;
    private final List<String> lookupUrls;
    private final String clientAddress;
    private final AtomicLong failures;
    private List<String> entryUrls = List.of();
    private long validUntilNanos = System.nanoTime();
    private int nextIndex;

    LookupClient(HttpCalls http, List<String> lookupUrls, String clientAddress, int firstIndex, AtomicLong failures) {
        this.http = http;
        this.lookupUrls = List.copyOf(lookupUrls);
        this.clientAddress = clientAddress;
        this.nextIndex = firstIndex;
        this.failures = failures;
    }

    /** Returns the URLs of the entry programs, most preferred first; empty if no lookup has succeeded. */
    synchronized List<String> entryUrls() {
        if (System.nanoTime() - validUntilNanos >= 0) {
            refresh();
        }
        return entryUrls;
    }

    private void refresh() {
        for (int attempt = 0; attempt < lookupUrls.size(); attempt++) {
            String url = lookupUrls.get(nextIndex % lookupUrls.size());
            if (query(url)) {
                return;
            }
            failures.incrementAndGet();
            nextIndex++;
        }
        setValidFor(RETRY_INTERVAL_MILLIS);
    }

    private boolean query(String url) {
        try {
            HttpCalls.TextResponse response = http.get(url + "/lookup?client=" + clientAddress);
            List<String> urls = new ArrayList<>();
            for (JsonNode entry : response.json().path("entries")) {
                urls.add(entry.path("url").asText());
            }
            if (response.status() != 200 || urls.isEmpty()) {
                return false;
            }
            entryUrls = List.copyOf(urls);
            setValidFor(response.json().path("lifetimeMs").asLong(RETRY_INTERVAL_MILLIS));
            return true;
        } catch (UncheckedIOException e) {
            return false;
        }
    }

    private void setValidFor(long milliseconds) {
        validUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }
}

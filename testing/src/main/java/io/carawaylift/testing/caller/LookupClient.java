package io.carawaylift.testing.caller;

import com.fasterxml.jackson.databind.JsonNode;
import io.carawaylift.testing.http.HttpCalls;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Asks the lookup programs in turn for one client address and keeps the answer for its lifetime. An old answer is kept
 * if no lookup program answers. Guarded by its own lock.
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

    /** Returns the URLs of the entry programs to use, best first; empty if none is known. */
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

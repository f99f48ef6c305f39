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
    private static final long RETRY_MS = 200;

    private final HttpCalls http;
    private final List<String> lookupUrls;
    private final String clientAddress;
    private final AtomicLong failures;
    private List<String> entryUrls = List.of();
    private long validUntilNanos = System.nanoTime();
    private int next;

    LookupClient(HttpCalls http, List<String> lookupUrls, String clientAddress, int first, AtomicLong failures) {
        this.http = http;
        this.lookupUrls = List.copyOf(lookupUrls);
        this.clientAddress = clientAddress;
        this.next = first;
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
            String url = lookupUrls.get(next % lookupUrls.size());
            if (ask(url)) {
                return;
            }
            failures.incrementAndGet();
            next++;
        }
        keepFor(RETRY_MS);
    }

    private boolean ask(String url) {
        try {
            HttpCalls.Answer answer = http.get(url + "/lookup?client=" + clientAddress);
            List<String> found = new ArrayList<>();
            for (JsonNode entry : answer.json().path("entries")) {
                found.add(entry.path("url").asText());
            }
            if (answer.status() != 200 || found.isEmpty()) {
                return false;
            }
            entryUrls = List.copyOf(found);
            keepFor(answer.json().path("lifetimeMs").asLong(RETRY_MS));
            return true;
        } catch (UncheckedIOException e) {
            return false;
        }
    }

    private void keepFor(long milliseconds) {
        validUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }
}

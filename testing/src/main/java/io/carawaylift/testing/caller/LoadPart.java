package io.carawaylift.testing.caller;

import io.carawaylift.model.Rank;
import java.util.List;

/**
 * One type of request in a load, with its rate.
 *
 * @param method GET for idempotent requests; any other method for requests that must run at most once
 * @param action path after the service, for example {@code /refresh}; {@code /download} is checked as a download
 * @param bytes size of the response's content
 * @param ratePerSecond mean arrivals per second, independent of the responses
 * @param customers customers to which the requests are attributed in turn
 */
public record LoadPart(
        String name,
        String service,
        String method,
        String action,
        int bytes,
        Rank rank,
        double ratePerSecond,
        long deadlineMs,
        List<String> customers) {
    public LoadPart {
        customers = List.copyOf(customers);
    }

    /** Returns whether requests of this part must run at most once. */
    public boolean atMostOnce() {
        return !method.equals("GET");
    }

    /** Returns whether the responses are checked as downloads. */
    public boolean download() {
        return action.equals("/download");
    }

    /** Returns a copy with another rate. */
    public LoadPart withRate(double newRatePerSecond) {
        return new LoadPart(name, service, method, action, bytes, rank, newRatePerSecond, deadlineMs, customers);
    }

    /** Returns a copy with another deadline. */
    public LoadPart withDeadline(long newDeadlineMs) {
        return new LoadPart(name, service, method, action, bytes, rank, ratePerSecond, newDeadlineMs, customers);
    }
}

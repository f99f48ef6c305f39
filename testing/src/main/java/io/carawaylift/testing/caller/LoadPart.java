package io.carawaylift.testing.caller;

import io.carawaylift.model.Rank;
import java.util.List;

/**
 * One kind of work in a load.
 *
 * @param method GET for repeatable work, POST for once-only work
 * @param action path after the service, for example {@code /refresh}; {@code /download} is checked as a download
 * @param bytes size of the answer's content
 * @param ratePerSecond mean arrivals per second, independent of the answers
 * @param customers customers in whose name the requests are sent in turn
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

    /** Returns whether the answers are downloads. */
    public boolean download() {
        return action.equals("/download");
    }

    /** Returns this part at another rate. */
    public LoadPart withRate(double newRatePerSecond) {
        return new LoadPart(name, service, method, action, bytes, rank, newRatePerSecond, deadlineMs, customers);
    }

    /** Returns this part with another deadline. */
    public LoadPart withDeadline(long newDeadlineMs) {
        return new LoadPart(name, service, method, action, bytes, rank, ratePerSecond, newDeadlineMs, customers);
    }
}

package io.carawaylift.decisions.dispatch;

import io.carawaylift.decisions.fleet.ProcessingTimes;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/**
 * What the dispatch of a request depends on. Created by {@link #builder}. Times are monotonic nanoseconds. Not
 * thread-safe.
 */
public final class DispatchRequest {
    private final String object;
    private final String customer;
    private final DoubleSupplier cost;
    private final int priority;
    private final long arrivedNanos;
    private final long targetMillis;
    private final long timeoutMillis;
    private final long deadlineNanos;
    private final boolean largeResponse;
    private final Predicate<String> mayRunIn;
    private final ProcessingTimes times;
    private final Set<String> excluded = new HashSet<>();
    private String region = "";
    private boolean waiting;
    private long waitingSinceNanos;

    private DispatchRequest(Builder builder) {
        this.object = builder.object;
        this.customer = builder.customer;
        this.cost = builder.cost;
        this.priority = builder.priority;
        this.arrivedNanos = builder.arrivedNanos;
        this.targetMillis = builder.targetMillis;
        this.timeoutMillis = builder.timeoutMillis;
        this.deadlineNanos = builder.deadlineNanos;
        this.largeResponse = builder.largeResponse;
        this.mayRunIn = builder.mayRunIn;
        this.times = builder.times;
    }

    /** Returns a builder of a request without an object that may run in every region. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the key of the object that the request concerns, empty if none. */
    public String object() {
        return object;
    }

    /** Returns the customer among which capacity is shared, empty if none. */
    public String customer() {
        return customer;
    }

    /** Returns the expected processing time in milliseconds, as far as it is known now. */
    public double cost() {
        return cost.getAsDouble();
    }

    /** Returns the rank, 0 is the highest. */
    public int priority() {
        return priority;
    }

    /** Returns the processing times of requests like this one; null if those of the service apply. */
    public ProcessingTimes times() {
        return times;
    }

    /** Returns when the request arrived at the host. */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /** Returns the latency within which a response counts as in time. */
    public long targetMillis() {
        return targetMillis;
    }

    /** Returns the longest time that the operators let a caller wait for the response. */
    public long timeoutMillis() {
        return timeoutMillis;
    }

    /** Returns when the caller stops waiting. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    boolean largeResponse() {
        return largeResponse;
    }

    boolean mayRunIn(String candidate) {
        return mayRunIn.test(candidate);
    }

    /** Excludes an endpoint that has already had the request. */
    public void exclude(String endpointId) {
        excluded.add(endpointId);
    }

    Set<String> excluded() {
        return excluded;
    }

    /** Returns the region in which the request is to run, empty if none is chosen yet. */
    public String region() {
        return region;
    }

    void setRegion(String chosen) {
        region = chosen;
    }

    /** Records that the request waits from now on. */
    public void waitFrom(long nowNanos) {
        waiting = true;
        waitingSinceNanos = nowNanos;
    }

    /** Returns the time for which the request has been waiting, 0 if it is not. */
    long waitedNanos(long nowNanos) {
        return waiting ? nowNanos - waitingSinceNanos : 0;
    }

    /** Builds a {@link DispatchRequest}. */
    public static final class Builder {
        private String object = "";
        private String customer = "";
        private DoubleSupplier cost = () -> 1;
        private int priority;
        private long arrivedNanos;
        private long targetMillis;
        private long timeoutMillis;
        private long deadlineNanos;
        private boolean largeResponse;
        private Predicate<String> mayRunIn = region -> true;
        private ProcessingTimes times;

        private Builder() {}

        /** Sets the key of the object that the request concerns, empty if none. */
        public Builder object(String key) {
            object = Objects.requireNonNull(key, "key");
            return this;
        }

        /** Sets the customer among which capacity is shared, empty if none. */
        public Builder customer(String name) {
            customer = Objects.requireNonNull(name, "name");
            return this;
        }

        /** Sets what returns the expected processing time in milliseconds. */
        public Builder cost(DoubleSupplier millis) {
            cost = Objects.requireNonNull(millis, "millis");
            return this;
        }

        /** Sets the rank, 0 is the highest. */
        public Builder priority(int rank) {
            priority = rank;
            return this;
        }

        /** Sets when the request arrived at the host. */
        public Builder arrivedNanos(long nanos) {
            arrivedNanos = nanos;
            return this;
        }

        /** Sets the latency within which a response counts as in time. */
        public Builder targetMillis(long millis) {
            targetMillis = millis;
            return this;
        }

        /** Sets when the caller stops waiting. */
        public Builder deadlineNanos(long nanos) {
            deadlineNanos = nanos;
            return this;
        }

        /** Sets the longest time that the operators let a caller wait for the response. */
        public Builder timeoutMillis(long millis) {
            timeoutMillis = millis;
            return this;
        }

        /** Sets whether the response is large, so that the network cost of its bytes matters. */
        public Builder largeResponse(boolean large) {
            largeResponse = large;
            return this;
        }

        /** Sets the regions in which the request may run. */
        public Builder mayRunIn(Predicate<String> regions) {
            mayRunIn = Objects.requireNonNull(regions, "regions");
            return this;
        }

        /** Sets the processing times of the route; those of the service apply without them. */
        public Builder times(ProcessingTimes ofRoute) {
            times = ofRoute;
            return this;
        }

        /** Creates the request. */
        public DispatchRequest build() {
            return new DispatchRequest(this);
        }
    }
}

package io.carawaylift.loadmodel;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/** A service, its endpoints and the requests for it. Immutable. Created by {@link #builder}. */
public final class ServiceModel {
    private final String name;
    private final Map<String, Integer> endpointsByZone;
    private final int slots;
    private final int queueLimit;
    private final int cachedObjects;
    private final double uncachedMillis;
    private final double cachedFraction;
    private final long targetMillis;
    private final long timeoutMillis;
    private final long deadlineMillis;
    private final int objectsPerRegion;
    private final double requestsPerSecond;
    private final int priority;
    private final boolean largeResponse;
    private final boolean repeatable;
    private final String pool;
    private final boolean affinity;
    private final double slowFraction;
    private final boolean unevenSpeed;
    private final double coldPerSecond;

    private ServiceModel(Builder builder) {
        this.name = Objects.requireNonNull(builder.name, "name");
        this.endpointsByZone = new LinkedHashMap<>(builder.endpointsByZone);
        this.slots = builder.slots;
        this.queueLimit = builder.queueLimit;
        this.cachedObjects = builder.cachedObjects;
        this.uncachedMillis = builder.uncachedMillis;
        this.cachedFraction = builder.cachedFraction;
        this.targetMillis = builder.targetMillis;
        this.timeoutMillis = builder.timeoutMillis;
        this.deadlineMillis = builder.deadlineMillis;
        this.objectsPerRegion = builder.objectsPerRegion;
        this.requestsPerSecond = builder.requestsPerSecond;
        this.priority = builder.priority;
        this.largeResponse = builder.largeResponse;
        this.repeatable = builder.repeatable;
        this.pool = builder.pool == null ? builder.name : builder.pool;
        this.affinity = builder.affinity;
        this.slowFraction = builder.slowFraction;
        this.unevenSpeed = builder.unevenSpeed;
        this.coldPerSecond = builder.coldPerSecond;
    }

    /** Returns a builder of a service with the given name. */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    String name() {
        return name;
    }

    /** Returns the name of the kind of requests whose endpoints serve this kind too. */
    String pool() {
        return pool;
    }

    /** Returns whether endpoints that handled the object are preferred. */
    boolean affinity() {
        return affinity;
    }

    /** Returns the fraction of the requests that take seven times as long. */
    double slowFraction() {
        return slowFraction;
    }

    /** Returns whether a seventh of the endpoints is 2.5 times slower at any moment, and reports it. */
    boolean unevenSpeed() {
        return unevenSpeed;
    }

    double coldPerSecond() {
        return coldPerSecond;
    }

    Map<String, Integer> endpointsByZone() {
        return endpointsByZone;
    }

    int slots() {
        return slots;
    }

    int queueLimit() {
        return queueLimit;
    }

    int cachedObjects() {
        return cachedObjects;
    }

    double uncachedMillis() {
        return uncachedMillis;
    }

    double cachedFraction() {
        return cachedFraction;
    }

    long targetMillis() {
        return targetMillis;
    }

    long timeoutMillis() {
        return timeoutMillis;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    int objectsPerRegion() {
        return objectsPerRegion;
    }

    /** Returns the mean rate of the requests of all zones together. */
    double requestsPerSecond() {
        return requestsPerSecond;
    }

    int priority() {
        return priority;
    }

    boolean largeResponse() {
        return largeResponse;
    }

    boolean repeatable() {
        return repeatable;
    }

    /** Builds a {@link ServiceModel}. */
    public static final class Builder {
        private final String name;
        private Map<String, Integer> endpointsByZone = Map.of();
        private int slots = 4;
        private int queueLimit = 12;
        private int cachedObjects = 20;
        private double uncachedMillis = 800;
        private double cachedFraction = 0.3;
        private long targetMillis = 600;
        private long timeoutMillis = 2000;
        private long deadlineMillis = 4000;
        private int objectsPerRegion = 24;
        private double requestsPerSecond = 50;
        private int priority = 1;
        private boolean largeResponse;
        private boolean repeatable = true;
        private String pool;
        private boolean affinity = true;
        private double slowFraction;
        private boolean unevenSpeed;
        private double coldPerSecond = 1;

        private Builder(String name) {
            this.name = name;
        }

        /** Sets the number of endpoints in each zone. */
        public Builder endpoints(Map<String, Integer> byZone) {
            endpointsByZone = new LinkedHashMap<>(byZone);
            return this;
        }

        /** Sets the requests that an endpoint runs at once, and how many more it queues before it rejects requests. */
        public Builder slots(int running, int queued) {
            slots = running;
            queueLimit = queued;
            return this;
        }

        /** Sets how many objects an endpoint caches; the least recently used one is evicted. */
        public Builder cachedObjects(int objects) {
            cachedObjects = objects;
            return this;
        }

        /**
         * Sets the mean processing time.
         *
         * @param cachedShare fraction of it that a cached object takes
         */
        public Builder processing(double uncached, double cachedShare) {
            uncachedMillis = uncached;
            cachedFraction = cachedShare;
            return this;
        }

        /** Sets the latency that counts as in time, the timeout of the route and the deadline of the callers. */
        public Builder latency(long target, long timeout, long deadline) {
            targetMillis = target;
            timeoutMillis = timeout;
            deadlineMillis = deadline;
            return this;
        }

        /** Sets the mean rate of the requests of all zones together, and the number of objects of each region's callers. */
        public Builder load(double perSecond, int objects) {
            requestsPerSecond = perSecond;
            objectsPerRegion = objects;
            return this;
        }

        /** Sets the rank, 0 is the highest. */
        public Builder priority(int rank) {
            priority = rank;
            return this;
        }

        /** Sets whether responses are large. */
        public Builder largeResponse(boolean large) {
            largeResponse = large;
            return this;
        }

        /** Sets whether a request may be repeated after it may have run. */
        public Builder repeatable(boolean mayRepeat) {
            repeatable = mayRepeat;
            return this;
        }

        /** Lets the endpoints of another kind of requests serve this one. */
        public Builder sharing(String other) {
            pool = other;
            return this;
        }

        /** Sets that no endpoint is preferred for an object. */
        public Builder withoutAffinity() {
            affinity = false;
            return this;
        }

        /** Sets the fraction of the requests that take seven times as long, and whether endpoints differ in speed. */
        public Builder uneven(double slowRequests, boolean speeds) {
            slowFraction = slowRequests;
            unevenSpeed = speeds;
            return this;
        }

        /** Sets the requests per second that a cold endpoint tolerates. */
        public Builder coldPerSecond(double rate) {
            coldPerSecond = rate;
            return this;
        }

        /** Creates the service. */
        public ServiceModel build() {
            return new ServiceModel(this);
        }
    }
}

package io.carawaylift.loadmodel;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

/** The course of the load and the disturbances of a run. Immutable. Created by {@link #builder}. */
public final class LoadPattern {
    private final String name;
    private final double seconds;
    private final RateFactor rate;
    private final List<Disturbance> disturbances;

    /** Varies the rate of requests. */
    public interface RateFactor {
        /** Returns the factor by which the mean rate of a zone's requests for a service is multiplied. */
        double at(String zone, String service, double second);
    }

    record Disturbance(double atSecond, Consumer<LoadRun> action) {}

    private LoadPattern(Builder builder) {
        this.name = builder.name;
        this.seconds = builder.seconds;
        this.rate = builder.rate;
        this.disturbances = List.copyOf(builder.disturbances);
    }

    /** Returns a builder of a pattern with a constant rate. */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /** Returns the name. */
    public String name() {
        return name;
    }

    double seconds() {
        return seconds;
    }

    RateFactor rate() {
        return rate;
    }

    List<Disturbance> disturbances() {
        return disturbances;
    }

    /** Builds a {@link LoadPattern}. */
    public static final class Builder {
        private final String name;
        private double seconds = 30;
        private RateFactor rate = (zone, service, second) -> 1;
        private final List<Disturbance> disturbances = new ArrayList<>();

        private Builder(String name) {
            this.name = name;
        }

        /** Sets the length. */
        public Builder seconds(double length) {
            seconds = length;
            return this;
        }

        /** Sets how the rate varies. */
        public Builder rate(RateFactor factor) {
            rate = Objects.requireNonNull(factor, "factor");
            return this;
        }

        /** Adds an action that changes the fleet during the run. */
        public Builder at(double second, Consumer<LoadRun> action) {
            disturbances.add(new Disturbance(second, action));
            return this;
        }

        /** Creates the pattern. */
        public LoadPattern build() {
            return new LoadPattern(this);
        }
    }
}

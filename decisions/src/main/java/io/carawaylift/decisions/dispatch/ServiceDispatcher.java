package io.carawaylift.decisions.dispatch;

import io.carawaylift.decisions.fleet.EndpointEntry;
import io.carawaylift.decisions.fleet.EndpointPicker;
import io.carawaylift.decisions.fleet.EndpointPicker.Choice;
import io.carawaylift.decisions.fleet.EndpointPicker.Requirements;
import io.carawaylift.decisions.fleet.ProcessingTimes;
import io.carawaylift.decisions.fleet.RegionShares;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.IntToDoubleFunction;
import java.util.function.LongUnaryOperator;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Decides to which endpoint a request for one service is sent, and whether it is sent now, waits or is refused. Created
 * by {@link #builder}. Times are monotonic nanoseconds. Not thread-safe.
 */
public final class ServiceDispatcher {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Min time after which a refused request returns: less would only repeat the refusal. */
    private static final double MIN_RETURN_MILLIS = 200;

    /** Fraction by which return times are spread, so that requests refused together do not return together. */
    private static final double RETURN_SPREAD = 0.5;

    /** Multiple of the mean processing time that must be left before the host ends: some requests take longer. */
    private static final double END_MARGIN = 1.5;

    private final String service;
    private final EndpointPicker picker;
    private final ProcessingTimes processingTimes;
    private final RegionShares shares;
    private final List<String> regions;
    private final ToDoubleFunction<String> roundTripMillis;
    private final DoubleSupplier coldRate;
    private final Predicate<EndpointEntry> mayWarmUp;
    private final BooleanSupplier scarce;
    private final LongUnaryOperator remainingNanos;
    private IntToDoubleFunction reservedFraction = rank -> 0;

    /** What happens to a request now. */
    public enum Verdict {
        /** It is sent to the chosen endpoint. */
        SEND,
        /** It waits for an endpoint. */
        WAIT,
        /** It is refused. */
        REFUSE
    }

    /**
     * A decision about a request.
     *
     * @param choice the endpoint, present if the verdict is {@link Verdict#SEND}
     * @param reason why the request is not sent, empty if it is
     */
    public record Decision(Verdict verdict, Optional<Choice> choice, String reason) {}

    private ServiceDispatcher(Builder builder) {
        this.service = Objects.requireNonNull(builder.service, "service");
        this.picker = Objects.requireNonNull(builder.picker, "picker");
        this.processingTimes = Objects.requireNonNull(builder.processingTimes, "processingTimes");
        this.shares = Objects.requireNonNull(builder.shares, "shares");
        this.regions = List.copyOf(builder.regions);
        this.roundTripMillis = builder.roundTripMillis;
        this.coldRate = builder.coldRate;
        this.mayWarmUp = builder.mayWarmUp;
        this.scarce = builder.scarce;
        this.remainingNanos = builder.remainingNanos;
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the processing times of the service. */
    public ProcessingTimes processingTimes() {
        return processingTimes;
    }

    /** Returns whether callers compete for capacity that is scarce or uneven. */
    public boolean isScarce() {
        return scarce.getAsBoolean();
    }

    /** Returns the shares of the regions. */
    public RegionShares shares() {
        return shares;
    }

    /** Returns the shortest known round trip to a region other than the given one in milliseconds, 0 if none is known. */
    double nearestRoundTripMillis(String ownRegion) {
        return regions.stream()
                .filter(region -> !region.equals(ownRegion))
                .mapToDouble(roundTripMillis)
                .filter(millis -> millis > 0)
                .min()
                .orElse(0);
    }

    /** Sets what requests leave to more urgent ones: the fraction of each endpoint's slots by rank. */
    public void setReserve(IntToDoubleFunction fractionByRank) {
        reservedFraction = fractionByRank;
    }

    private ProcessingTimes times(DispatchRequest request) {
        return request.times() == null ? processingTimes : request.times();
    }

    /** Decides about a request and takes the permit of the endpoint if it is sent. */
    public Decision decide(DispatchRequest request, long nowNanos) {
        ProcessingTimes times = times(request);
        if (request.deadlineNanos() - nowNanos < times.expectedMillis(true) * NANOS_PER_MILLI) {
            return refuse("the time left is shorter than the processing time");
        }
        if (remainingNanos.applyAsLong(nowNanos) < END_MARGIN * times.meanMillis() * NANOS_PER_MILLI) {
            return refuse("the host may end before the response");
        }
        if (!picker.hasUsableEndpoint(service, request::mayRunIn)) {
            return refuse("no endpoint of the service is listed in a region where the request may run");
        }
        Requirements requirements = requirements(request);
        if (request.region().isEmpty()) {
            request.setRegion(shares.next(request.object(), request::mayRunIn));
        }
        Optional<Choice> best = choose(request, requirements, nowNanos);
        boolean acceptable = best.isPresent() && isExpectedInTime(request, best.get(), nowNanos);
        if (acceptable && picker.tryTake(best.get(), requirements, nowNanos)) {
            return new Decision(Verdict.SEND, best, "");
        }
        if (!acceptable && shares.maySpill()) {
            Optional<Choice> elsewhere = inOtherRegion(request, requirements, nowNanos);
            if (elsewhere.isPresent() && shares.trySpill() && picker.tryTake(elsewhere.get(), requirements, nowNanos)) {
                return new Decision(Verdict.SEND, elsewhere, "");
            }
        }
        long maxWaitMillis = scarce.getAsBoolean() && shares.isOverloaded()
                ? AdmissionLimits.maxOverloadWaitMillis(request, times)
                : AdmissionLimits.maxWaitMillis(request);
        if (request.waitedNanos(nowNanos) >= maxWaitMillis * NANOS_PER_MILLI) {
            return refuse("no endpoint had capacity while the request was queued");
        }
        return new Decision(Verdict.WAIT, Optional.empty(), "no endpoint is expected to respond in time");
    }

    private static Decision refuse(String reason) {
        return new Decision(Verdict.REFUSE, Optional.empty(), reason);
    }

    /** Returns the waits in milliseconds after which the decision about a waiting request changes. */
    public static long[] decisionTimesMillis(DispatchRequest request) {
        long target = AdmissionLimits.targetWaitMillis(request);
        long max = AdmissionLimits.maxWaitMillis(request);
        return request.times() == null
                ? new long[] {target, max}
                : new long[] {target, max, AdmissionLimits.maxOverloadWaitMillis(request, request.times())};
    }

    /**
     * Returns the milliseconds after which a refused request should return: when the endpoints of its object are
     * expected to have room. Spread at random by {@code random} between 0 and 1.
     */
    public double returnMillis(DispatchRequest request, double random, long nowNanos) {
        double untilRoom = choose(request, requirements(request), nowNanos)
                .map(Choice::queueWaitMillis)
                .orElse(times(request).expectedMillis(false));
        double spread = 1 + RETURN_SPREAD * random;
        return spread
                * Math.max(MIN_RETURN_MILLIS, Math.max(untilRoom, times(request).expectedMillis(true)));
    }

    private Requirements requirements(DispatchRequest request) {
        return new Requirements(
                service,
                request.object(),
                request.largeResponse(),
                request.excluded(),
                coldRate.getAsDouble(),
                mayWarmUp,
                scarce.getAsBoolean() ? reservedFraction.applyAsDouble(request.priority()) : 0,
                scarce.getAsBoolean());
    }

    private boolean isInTimeOnly(DispatchRequest request) {
        return scarce.getAsBoolean()
                && (shares.isOverloaded() || request.object().isEmpty());
    }

    /**
     * Chooses an endpoint in the planned region, or in another one if the planned region has no usable endpoint or,
     * within limits, if the request has been waiting.
     */
    private Optional<Choice> choose(DispatchRequest request, Requirements requirements, long nowNanos) {
        Optional<Choice> planned = picker.pick(requirements, request.region(), times(request), nowNanos);
        if (planned.isPresent()) {
            return planned;
        }
        for (String other : regions) {
            if (request.mayRunIn(other) && !other.equals(request.region())) {
                Optional<Choice> choice = picker.pick(requirements, other, times(request), nowNanos);
                if (choice.isPresent()) {
                    return choice;
                }
            }
        }
        return Optional.empty();
    }

    /** Returns the endpoint with a free slot in another region that is expected to respond first, or empty. */
    private Optional<Choice> inOtherRegion(DispatchRequest request, Requirements requirements, long nowNanos) {
        Optional<Choice> first = Optional.empty();
        double minLatency = Double.POSITIVE_INFINITY;
        for (String other : regions) {
            if (!request.mayRunIn(other) || other.equals(request.region())) {
                continue;
            }
            Optional<Choice> choice = picker.pick(requirements, other, times(request), nowNanos);
            if (choice.isPresent() && choice.get().slotFree()) {
                double latency = expectedLatencyMillis(request, choice.get(), nowNanos);
                if (latency < minLatency) {
                    minLatency = latency;
                    first = choice;
                }
            }
        }
        return first;
    }

    /** Returns whether the endpoint has a free slot or is expected to respond within the current limit. */
    private boolean isExpectedInTime(DispatchRequest request, Choice choice, long nowNanos) {
        return choice.slotFree()
                || expectedLatencyMillis(request, choice, nowNanos)
                        <= AdmissionLimits.maxLatencyMillis(request, isInTimeOnly(request), nowNanos);
    }

    private double expectedLatencyMillis(DispatchRequest request, Choice choice, long nowNanos) {
        double elapsed = (nowNanos - request.arrivedNanos()) / NANOS_PER_MILLI;
        double roundTrip =
                roundTripMillis.applyAsDouble(choice.endpoint().entry().region());
        return elapsed + roundTrip + choice.queueWaitMillis() + choice.processingMillis();
    }

    /** Builds a {@link ServiceDispatcher}. */
    public static final class Builder {
        private String service;
        private EndpointPicker picker;
        private ProcessingTimes processingTimes;
        private RegionShares shares;
        private List<String> regions = List.of();
        private ToDoubleFunction<String> roundTripMillis = region -> 0;
        private DoubleSupplier coldRate = () -> 1;
        private Predicate<EndpointEntry> mayWarmUp = endpoint -> false;
        private BooleanSupplier scarce = () -> true;
        private LongUnaryOperator remainingNanos = now -> Long.MAX_VALUE;

        private Builder() {}

        /** Sets the name of the service. Required. */
        public Builder service(String name) {
            service = name;
            return this;
        }

        /** Sets what chooses the endpoints. Required. */
        public Builder picker(EndpointPicker endpoints) {
            picker = endpoints;
            return this;
        }

        /** Sets the processing times of the service. Required. */
        public Builder processingTimes(ProcessingTimes times) {
            processingTimes = times;
            return this;
        }

        /** Sets the shares of the regions. Required. */
        public Builder shares(RegionShares regionShares) {
            shares = regionShares;
            return this;
        }

        /** Sets all regions. */
        public Builder regions(Collection<String> all) {
            regions = List.copyOf(all);
            return this;
        }

        /** Sets the round trip time to a region in milliseconds, 0 if unknown. */
        public Builder roundTripMillis(ToDoubleFunction<String> byRegion) {
            roundTripMillis = Objects.requireNonNull(byRegion, "byRegion");
            return this;
        }

        /** Sets the requests per second that a cold endpoint tolerates. */
        public Builder coldRate(DoubleSupplier perSecond) {
            coldRate = Objects.requireNonNull(perSecond, "perSecond");
            return this;
        }

        /** Sets whether this host sends to an endpoint while it is cold. */
        public Builder mayWarmUp(Predicate<EndpointEntry> endpoints) {
            mayWarmUp = Objects.requireNonNull(endpoints, "endpoints");
            return this;
        }

        /**
         * Sets whether callers compete for capacity that is scarce or uneven, so that late work gets no place in overload,
         * urgent requests have a reserve and endpoints are ramped up. True unless set.
         */
        public Builder scarce(BooleanSupplier competing) {
            scarce = Objects.requireNonNull(competing, "competing");
            return this;
        }

        /**
         * Sets what returns, for a time, the nanoseconds for which this host processes requests; {@link Long#MAX_VALUE}
         * if it is not stopping.
         */
        public Builder remainingNanos(LongUnaryOperator untilEnd) {
            remainingNanos = Objects.requireNonNull(untilEnd, "untilEnd");
            return this;
        }

        /** Creates the dispatcher. */
        public ServiceDispatcher build() {
            return new ServiceDispatcher(this);
        }
    }
}

package io.carawaylift.decisions.route;

/** A service that gets a fraction of a route's requests in proportion to its weight, which is not negative. */
public record WeightedService(String service, double weight) {
    public WeightedService {
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight of service " + service + " must not be negative: " + weight);
        }
    }
}

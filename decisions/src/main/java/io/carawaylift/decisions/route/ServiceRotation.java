package io.carawaylift.decisions.route;

import java.util.HashMap;
import java.util.Map;

/**
 * Distributes the requests of a route over its services so that every prefix of the sequence is as close to the weights
 * as possible. Not thread-safe.
 */
public final class ServiceRotation {
    private final Map<String, Double> credits = new HashMap<>();

    /** Creates a rotation without history. */
    public ServiceRotation() {}

    /** Returns the service of the next request. */
    public String next(Route route) {
        if (route.services().size() == 1) {
            return route.services().get(0).service();
        }
        double total = 0;
        for (WeightedService part : route.services()) {
            total += part.weight();
            credits.merge(part.service(), part.weight(), Double::sum);
        }
        String chosen = route.services().get(0).service();
        double most = Double.NEGATIVE_INFINITY;
        for (WeightedService part : route.services()) {
            double credit = credits.get(part.service());
            if (part.weight() > 0 && credit > most) {
                most = credit;
                chosen = part.service();
            }
        }
        credits.merge(chosen, -total, Double::sum);
        return chosen;
    }
}

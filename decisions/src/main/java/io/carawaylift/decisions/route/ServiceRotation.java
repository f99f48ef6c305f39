package io.carawaylift.decisions.route;

import java.util.HashMap;
import java.util.Map;

/**
 * Distributes the requests of a route over its services by smooth weighted round-robin: every prefix of the sequence is
 * as close to the weights as possible. Not thread-safe.
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
        for (WeightedService service : route.services()) {
            total += service.weight();
            credits.merge(service.service(), service.weight(), Double::sum);
        }
        String chosen = route.services().get(0).service();
        double maxCredit = Double.NEGATIVE_INFINITY;
        for (WeightedService service : route.services()) {
            double credit = credits.get(service.service());
            if (service.weight() > 0 && credit > maxCredit) {
                maxCredit = credit;
                chosen = service.service();
            }
        }
        credits.merge(chosen, -total, Double::sum);
        return chosen;
    }
}

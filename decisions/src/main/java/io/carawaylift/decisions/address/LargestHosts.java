package io.carawaylift.decisions.address;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Chooses the hosts to which callers are sent: the largest ones that make up half of the capacity. A host that serves many
 * requests knows the endpoints better and keeps connections to them; a small one is spared unless it is needed.
 */
public final class LargestHosts {
    /** Part of the capacity of all hosts that the chosen ones have at least. */
    private static final double MIN_CAPACITY_FRACTION = 0.5;

    /** Hosts that are chosen at least, so that the loss of a few leaves callers somewhere to go. */
    private static final int MIN_HOSTS = 4;

    private LargestHosts() {}

    /** Returns the chosen hosts; all hosts as large as the smallest chosen one are chosen too. */
    public static <T> List<T> of(List<T> hosts, ToDoubleFunction<T> capacity) {
        List<T> bySize = new ArrayList<>(hosts);
        bySize.sort(Comparator.comparingDouble(capacity).reversed());
        double total = bySize.stream().mapToDouble(capacity).sum();
        List<T> chosen = new ArrayList<>();
        double sum = 0;
        double smallest = 0;
        for (T host : bySize) {
            double size = capacity.applyAsDouble(host);
            boolean enough = chosen.size() >= MIN_HOSTS && sum >= MIN_CAPACITY_FRACTION * total;
            if (enough && size < smallest) {
                break;
            }
            chosen.add(host);
            sum += size;
            smallest = size;
        }
        return chosen;
    }
}

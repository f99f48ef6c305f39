package io.carawaylift.decisions.address;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Chooses the hosts to which callers are sent: the largest ones that together have half of the capacity. A host that serves
 * many requests knows the state of the endpoints better and keeps connections to them; small hosts are used only if
 * they are needed. Stateless and thread-safe.
 */
public final class LargestHosts {
    /** Minimum fraction of the capacity of all hosts that the chosen hosts have together. */
    private static final double MIN_CAPACITY_FRACTION = 0.5;

    /** Minimum number of chosen hosts, so that callers have an alternative when a few hosts fail. */
    private static final int MIN_HOSTS = 4;

    private LargestHosts() {}

    /** Returns the chosen hosts, largest first, including all hosts of the same capacity as the smallest chosen one. */
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

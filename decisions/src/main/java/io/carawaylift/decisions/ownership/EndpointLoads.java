package io.carawaylift.decisions.ownership;

import io.carawaylift.model.EntryProcess;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Counts the endpoints that each candidate owns or is about to own, in total and by upstream. */
final class EndpointLoads {
    private static final class Load {
        private int total;
        private final Map<String, Integer> byUpstream = new HashMap<>();
    }

    private final Map<EntryProcess, Load> loads = new LinkedHashMap<>();

    EndpointLoads(List<EntryProcess> candidates) {
        candidates.forEach(candidate -> loads.put(candidate, new Load()));
    }

    boolean isCandidate(EntryProcess process) {
        return loads.containsKey(process);
    }

    void add(EntryProcess process, String upstream, int change) {
        Load load = loads.get(process);
        if (load != null) {
            load.total += change;
            load.byUpstream.merge(upstream, change, Integer::sum);
        }
    }

    int total(EntryProcess process) {
        return loads.get(process).total;
    }

    int ofUpstream(EntryProcess process, String upstream) {
        return loads.get(process).byUpstream.getOrDefault(upstream, 0);
    }

    /**
     * Returns the candidate that is not excluded and has the fewest endpoints; ties are broken by those of the
     * upstream.
     */
    Optional<EntryProcess> leastLoaded(String upstream, List<EntryProcess> excluded) {
        return loads.keySet().stream()
                .filter(process -> !excluded.contains(process))
                .min(Comparator.comparingInt(this::total)
                        .thenComparingInt(process -> ofUpstream(process, upstream))
                        .thenComparing(EntryProcess::host));
    }

    Optional<EntryProcess> mostLoaded() {
        return loads.keySet().stream().max(Comparator.comparingInt(this::total).thenComparing(EntryProcess::host));
    }
}

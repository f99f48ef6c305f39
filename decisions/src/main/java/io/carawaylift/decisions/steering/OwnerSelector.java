package io.carawaylift.decisions.steering;

import io.carawaylift.model.EntryProcess;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Chooses the owner of an upstream's endpoints with the least outstanding work per slot. Stateless and thread-safe. */
public final class OwnerSelector {
    /** Multiplier for hashing the seed, 2^64 divided by the golden ratio; spreads consecutive seeds over tied candidates. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** Creates a selector. */
    public OwnerSelector() {}

    /**
     * An owner as seen by the process that chooses.
     *
     * @param slots slots of the upstream that the owner may use
     * @param outstanding unfinished requests that the choosing process has sent to the owner; during a flood count only those of
     *     the request's rank and higher ranks, because an owner that refuses lower ranks would look idle by the total and would
     *     attract all requests of higher ranks
     */
    public record Candidate(EntryProcess process, int slots, int outstanding) {}

    /** Returns the owner with the fewest outstanding requests per slot; {@code seed} breaks ties. Empty if none has slots. */
    public Optional<EntryProcess> choose(List<Candidate> candidates, long seed) {
        List<Candidate> best = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (candidate.slots() <= 0) {
                continue;
            }
            int order = best.isEmpty() ? 0 : compareLoad(candidate, best.get(0));
            if (order < 0) {
                best.clear();
            }
            if (order <= 0) {
                best.add(candidate);
            }
        }
        if (best.isEmpty()) {
            return Optional.empty();
        }
        int index = (int) Math.floorMod((seed * HASH_MULTIPLIER) >>> 32, (long) best.size());
        return Optional.of(best.get(index).process());
    }

    private static int compareLoad(Candidate left, Candidate right) {
        long leftLoad = (long) left.outstanding() * right.slots();
        long rightLoad = (long) right.outstanding() * left.slots();
        return Long.compare(leftLoad, rightLoad);
    }
}

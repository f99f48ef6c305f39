package io.carawaylift.decisions.steering;

import io.carawaylift.model.EntryProcess;
import java.util.List;
import java.util.Optional;

/** Chooses among the owners of an upstream's endpoints the one with most room. Stateless and thread-safe. */
public final class OwnerSelector {
    /**
     * An owner as the choosing process sees it.
     *
     * @param slots slots of the upstream that the owner may use
     * @param outstanding requests that the choosing process has sent to it and that are not finished
     */
    public record Candidate(EntryProcess process, int slots, int outstanding) {}

    /** Returns the owner with the least outstanding work per slot, ties broken by {@code seed}; empty if none has slots. */
    public Optional<EntryProcess> choose(List<Candidate> candidates, long seed) {
        throw new UnsupportedOperationException();
    }
}

package io.carawaylift.decisions.currency;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Removals of objects of one kind that must not take effect before another kind is known up to the same revision. For
 * example, an evacuation is removed after its endpoints wrote that they are cold: a host that sees the removal first
 * would send to them as to warm ones. Not thread-safe.
 */
public final class HeldRemovals {
    private final Map<String, Long> revisions = new LinkedHashMap<>();

    /** Creates an instance without removals. */
    public HeldRemovals() {}

    /** Holds the removal of an object until the other kind is known up to {@code revision}. */
    public void hold(String name, long revision) {
        revisions.merge(name, revision, Math::max);
    }

    /** Forgets the removal of an object that exists again. */
    public void cancel(String name) {
        revisions.remove(name);
    }

    /** Returns the removals that may take effect since the other kind is known up to {@code revision}. */
    public List<String> release(long revision) {
        List<String> released = revisions.entrySet().stream()
                .filter(held -> held.getValue() <= revision)
                .map(Map.Entry::getKey)
                .toList();
        released.forEach(revisions::remove);
        return released;
    }

    /** Returns whether no removal is held. */
    public boolean isEmpty() {
        return revisions.isEmpty();
    }
}

package io.carawaylift.decisions.currency;

import io.carawaylift.decisions.replica.StorePosition;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Removals of objects of one kind that must not take effect before another kind is known up to the same position. For
 * example, an evacuation is removed after its endpoints wrote that they are cold: a host that sees the removal first
 * would send to them as to warm ones. Not thread-safe.
 */
public final class HeldRemovals {
    private final Map<String, StorePosition> positions = new LinkedHashMap<>();

    /** Creates an instance without removals. */
    public HeldRemovals() {}

    /** Holds the removal of an object until the other kind is known up to {@code position}. */
    public void hold(String name, StorePosition position) {
        positions.merge(name, position, StorePosition::max);
    }

    /** Forgets the removal of an object that exists again. */
    public void cancel(String name) {
        positions.remove(name);
    }

    /** Returns the removals that may take effect since the other kind is known up to {@code position}. */
    public List<String> release(StorePosition position) {
        List<String> released = positions.entrySet().stream()
                .filter(held -> !held.getValue().isAfter(position))
                .map(Map.Entry::getKey)
                .toList();
        released.forEach(positions::remove);
        return released;
    }

    /** Returns whether no removal is held. */
    public boolean isEmpty() {
        return positions.isEmpty();
    }
}

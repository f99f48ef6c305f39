package io.carawaylift.decisions.replica;

/**
 * A point in the history of a store. A store that is restored from an older copy starts a new era, in which it assigns
 * revisions again that it had assigned before; revisions are comparable within one era only. Immutable.
 *
 * @param era number of the era, 0 if the store names none
 * @param revision revision of the store within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** Before every position of a store. */
    public static final StorePosition NONE = new StorePosition(0, 0);

    /** Returns whether this is a later point than another one. */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    /** Returns the later one of two positions. */
    public static StorePosition max(StorePosition one, StorePosition other) {
        return one.isAfter(other) ? one : other;
    }

    @Override
    public int compareTo(StorePosition other) {
        return era == other.era ? Long.compare(revision, other.revision) : Long.compare(era, other.era);
    }
}

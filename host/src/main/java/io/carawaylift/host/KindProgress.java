package io.carawaylift.host;

import io.carawaylift.decisions.replica.StorePosition;

/** How far the changes of one kind are known. Used on the event loop only. */
final class KindProgress {
    private final KindListener listener;
    private StorePosition position = StorePosition.NONE;
    private StorePosition target = StorePosition.NONE;

    KindProgress(KindListener listener) {
        this.listener = listener;
    }

    /** Returns the position of the store up to which all changes are known. */
    StorePosition position() {
        return position;
    }

    /** Returns the position up to which changes were requested by {@link #aim}. */
    StorePosition target() {
        return target;
    }

    /** Requests that the changes up to a position become known. */
    void aim(StorePosition wanted) {
        target = StorePosition.max(target, wanted);
    }

    /** Returns whether fewer changes are known than requested. */
    boolean isBehindTarget() {
        return target.isAfter(position);
    }

    /** Records that all changes up to a position are known, and tells the listener if they were not before. */
    void advance(StorePosition known) {
        if (known.isAfter(position)) {
            position = known;
            listener.caughtUp(position);
        }
    }

    /** Continues from a position up to which the changes are not known for certain, without telling the listener. */
    void resumeFrom(StorePosition other) {
        position = StorePosition.max(position, other);
    }

    /** Returns whether the store was restored since the known position. */
    boolean isOlderThanEra(long era) {
        return !position.equals(StorePosition.NONE) && position.era() < era;
    }

    /**
     * Returns whether changes up to a position continue what is known: they are counted from a revision of the same era,
     * and nothing of a later era is known.
     */
    boolean isContinued(StorePosition from, StorePosition to) {
        boolean sameEra = from.equals(StorePosition.NONE) || from.era() == to.era();
        return sameEra && position.era() <= to.era();
    }
}

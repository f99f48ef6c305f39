package io.carawaylift.decisions.replica;

/**
 * What the writer of an object says about the order of its writes. It orders versions of different eras of the store,
 * which revisions do not. Immutable.
 *
 * @param incarnation increases when the writer starts again
 * @param sequence increases with each write of an incarnation
 * @param content hash of everything that matters to readers
 */
public record WriterMark(long incarnation, long sequence, long content) {
    /** Returns whether this was written after another version of the object. */
    public boolean isAfter(WriterMark other) {
        return incarnation == other.incarnation ? sequence > other.sequence : incarnation > other.incarnation;
    }

    /** Returns whether this was written after another version of the object and differs from it. */
    public boolean supersedes(WriterMark other) {
        return isAfter(other) && content != other.content;
    }
}

package io.carawaylift.decisions.ownership;

import io.carawaylift.model.DomainRecord;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.OwnersRecord;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides for the control program of one host when it acknowledges heartbeats as a successor and when it takes endpoints
 * over. Times are monotonic nanoseconds of one clock. Not thread-safe.
 *
 * <p>The control program must hand every newer {@code owners/} record to this policy before it pushes the record to its entry
 * program: the entry program's wait after a takeover assumes that acknowledgements have ended by then.
 */
public final class TakeoverPolicy {
    /** Creates the policy of a control program that started at {@code startNanos}; {@code host} is its own host id. */
    public TakeoverPolicy(String host, LeaseTimes times, long startNanos) {
        throw new UnsupportedOperationException();
    }

    /**
     * Takes a record {@code owners/} of this region; an older version is ignored.
     *
     * @param fromPlatform whether the control program read it from the platform itself rather than from a peer; nothing
     *     is acknowledged for a record before its first such read
     */
    public void ownersRead(String name, long version, OwnersRecord record, boolean fromPlatform, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /**
     * Takes a record {@code domain/} read from the platform.
     *
     * @param startedNanos when the read was sent
     * @param finishedNanos when the answer arrived
     */
    public void domainRead(DomainRecord record, long startedNanos, long finishedNanos) {
        throw new UnsupportedOperationException();
    }

    /**
     * Takes a heartbeat that another host's control program relayed; returns the acknowledgement to send back, empty if this
     * host is no successor of the process or must not promise now.
     */
    public Optional<Acknowledgement> heartbeatReceived(EntryProcess owner, long heartbeat, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /**
     * Returns the conditional updates to send now, at most one per record: takeovers, resignations of a leaving host, and
     * rewrites that settle an earlier update whose answer was lost. Each counts as unresolved from now on.
     *
     * @param self entry process of this host with its state, null if it is not running
     * @param live live members of the region, candidates for successor
     * @param gone whether a process is confirmed gone
     */
    public List<OwnersWrite> writesDue(Member self, List<Member> live, Predicate<EntryProcess> gone, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /**
     * Settles an update that the platform accepted; {@link #ownersRead} with the new version must follow. An update that lost
     * ({@code VERSION_CONFLICT}) is settled by {@link #ownersRead} with the newer version alone; one without an answer stays
     * unresolved and is repeated by {@link #writesDue}.
     */
    public void writeAccepted(OwnersWrite write, long newVersion, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /** Returns whether an update of this record is unresolved. */
    public boolean isUnresolved(String name) {
        throw new UnsupportedOperationException();
    }
}

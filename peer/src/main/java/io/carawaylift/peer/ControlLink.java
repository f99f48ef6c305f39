package io.carawaylift.peer;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.RecordBytes;
import java.util.Map;

/**
 * Connection of an entry or look-up program to the control program of its host. Reconnects by itself until stopped;
 * after each connect the control program sends all records again. Thread-safe.
 */
public interface ControlLink {
    /** Starts connecting; calls {@code listener} on one thread at a time. */
    void start(Listener listener);

    /** Closes the connection; no listener call starts after this returns. */
    void stop();

    /** Sends a heartbeat; it is dropped when not connected. The report's heartbeat number rises by one each time. */
    void sendHeartbeat(MemberReport report);

    /** Receives what the control program sends. */
    interface Listener {
        /** A record changed, or is sent again after a reconnect; versions may repeat but the newest comes last. */
        void recordChanged(String name, long version, RecordBytes value);

        /** The platform holds the heartbeat; versions of the {@code owners/} records read afterwards, by name. */
        void platformConfirmed(long heartbeat, Map<String, Long> ownersVersions);

        /** The control program of the successor host received the heartbeat and promises not to take over for one lease. */
        void successorAcknowledged(String successorHost, long heartbeat);

        /** All records known to the control program have been sent, and it has learned them from the platform or a peer. */
        void synchronizedWithControl();

        /** The connection was lost. */
        void disconnected();
    }

    /**
     * What the connecting program says about itself.
     *
     * @param program {@code entry} or {@code lookup}
     * @param process entry process, null for a look-up program
     * @param processId process id, by which the control program of the same host notices that the process ended
     */
    record Identity(String program, EntryProcess process, long processId) {}
}

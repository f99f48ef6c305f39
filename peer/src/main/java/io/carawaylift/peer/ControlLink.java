package io.carawaylift.peer;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.RecordBytes;
import java.util.Map;

/**
 * Connects an entry or lookup program to the control program of its host. Reconnects automatically until stopped; the
 * control program sends all records after each connect. Thread-safe.
 */
public interface ControlLink {
    /** Starts connecting; {@code listener} is never called by two threads at once. */
    void start(Listener listener);

    /** Closes the connection; no listener call starts after this returns. */
    void stop();

    /** Sends a heartbeat, or drops it when not connected. The heartbeat number must rise by one with each call. */
    void sendHeartbeat(MemberReport report);

    /** Receives records and confirmations from the control program. */
    interface Listener {
        /**
         * A record changed or was sent again after a reconnect. A version may arrive twice, but the newest comes last.
         */
        void recordChanged(String name, long version, RecordBytes value);

        /**
         * The heartbeat was written to the platform.
         *
         * @param ownersVersions versions of the {@code owners/} records read after the write, by record name
         */
        void platformConfirmed(long heartbeat, Map<String, Long> ownersVersions);

        /**
         * The control program of the successor host received the heartbeat and guarantees not to take over for one
         * lease.
         */
        void successorAcknowledged(String successorHost, long heartbeat);

        /** All records of the control program were received, and it has synchronized with the platform or a peer. */
        void synchronizedWithControl();

        /** The connection was lost. */
        void disconnected();
    }

    /**
     * Identity of the connecting program.
     *
     * @param program {@code entry} or {@code lookup}
     * @param process entry process, null for a lookup program
     * @param processId operating system process id, by which the control program detects that the process terminated
     */
    record Identity(String program, EntryProcess process, long processId) {}
}

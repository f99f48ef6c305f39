package io.carawaylift.control;

import io.carawaylift.model.Member;
import java.util.List;
import java.util.Map;

/**
 * The data of the page {@code /status}.
 *
 * @param synchronizedOnce whether the records were ever synchronized with the platform or a peer
 * @param recordVersions newest known version of each record
 * @param members members of the host's failure domain
 */
record ControlStatus(
        String host,
        String failureDomain,
        boolean synchronizedOnce,
        Roles roles,
        Map<String, Long> recordVersions,
        List<Member> members,
        Map<String, Calls> platformCalls,
        PeerTraffic peers) {
    /**
     * Current roles of this control program.
     *
     * @param reporterOf failure domains for which it is the reporter
     * @param successorOf number of endpoints whose successor the host is
     */
    record Roles(boolean agent, List<String> reporterOf, long successorOf) {}

    /** Number of platform calls of one kind since the program started. */
    record Calls(long started, long failed) {}

    /** Number of open connections to other control programs, and bytes on all connections since the program started. */
    record PeerTraffic(int connections, long bytesSent, long bytesReceived) {}
}

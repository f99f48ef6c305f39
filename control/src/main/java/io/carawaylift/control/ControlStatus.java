package io.carawaylift.control;

import io.carawaylift.model.Member;
import java.util.List;
import java.util.Map;

/**
 * What the page {@code /status} shows.
 *
 * @param synchronizedOnce whether the records were learned from the platform or a peer
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
     * What this control program does now.
     *
     * @param reporterOf failure domains that it reports for
     * @param successorOf number of endpoints whose successor the host is
     */
    record Roles(boolean agent, List<String> reporterOf, long successorOf) {}

    /** Calls of one kind since the start. */
    record Calls(long started, long failed) {}

    /** Open connections to other control programs, and bytes on all connections since the start. */
    record PeerTraffic(int connections, long bytesSent, long bytesReceived) {}
}

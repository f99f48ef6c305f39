package io.carawaylift.control;

import io.carawaylift.decisions.membership.RegionMembers;
import io.carawaylift.decisions.ownership.LeaseDurations;
import io.carawaylift.decisions.ownership.TakeoverPolicy;
import io.carawaylift.platform.PlatformClient;
import io.carawaylift.runtime.HostSettings;

/** State shared by the components of a control program. Used on the decision thread only. */
record ControlState(
        HostSettings host,
        LeaseDurations durations,
        DecisionLoop loop,
        PlatformClient platform,
        Records records,
        RecordReader reader,
        EndpointListVerifier listVerifier,
        RegionMembers members,
        TakeoverPolicy takeovers,
        Peers peers,
        LocalPrograms programs) {
    /** Returns whether this host is one of the agents of its failure domain. */
    boolean isAgent() {
        return members.agents(host.failureDomain(), loop.nowNanos()).contains(host.id());
    }
}

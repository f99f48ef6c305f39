package io.carawaylift.control;

import io.carawaylift.model.EndpointList;
import io.carawaylift.peer.Message;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Runs a {@link DomainReport} for each failure domain for which this host is the reporter. Used on the decision thread
 * only.
 */
final class Reporter {
    private final ControlState state;
    private final Map<String, DomainReport> reports = new HashMap<>();

    Reporter(ControlState state) {
        this.state = state;
    }

    /** Starts a round of each report; called once per heartbeat interval. */
    void tick() {
        for (String domain : reportedDomains()) {
            reports.computeIfAbsent(domain, name -> new DomainReport(name, state, this::confirm))
                    .startRound();
        }
    }

    /** Returns the failure domains for which this host is the reporter, according to its current view. */
    List<String> reportedDomains() {
        Set<String> domains = new TreeSet<>(state.members().failureDomains());
        state.records().regionLists().stream().map(EndpointList::failureDomain).forEach(domains::add);
        long now = state.loop().nowNanos();
        return domains.stream()
                .filter(domain -> state.members()
                        .reporter(domain, now)
                        .filter(state.host().id()::equals)
                        .isPresent())
                .toList();
    }

    private void confirm(Message.HeartbeatConfirmed confirmed) {
        if (confirmed.process().host().equals(state.host().id())) {
            state.programs().confirm(confirmed);
        } else {
            state.peers().send(confirmed.process().host(), confirmed);
        }
    }
}

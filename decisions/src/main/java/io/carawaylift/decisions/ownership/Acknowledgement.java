package io.carawaylift.decisions.ownership;

import io.carawaylift.model.EntryProcess;
import java.util.Map;

/**
 * Promise of a successor's control program not to take over from {@code owner} for one lease.
 *
 * <p>The owner's control program passes it to the entry program only if it has already passed on at least
 * {@code ownersVersions}; otherwise the owner could count it for an endpoint that it has lost without knowing.
 *
 * @param successor host that promises
 * @param heartbeat number of the heartbeat that is acknowledged
 * @param ownersVersions versions of the {@code owners/} records known to the successor, by record name
 */
public record Acknowledgement(String successor, EntryProcess owner, long heartbeat, Map<String, Long> ownersVersions) {
    public Acknowledgement {
        ownersVersions = Map.copyOf(ownersVersions);
    }

    /**
     * Returns whether a process with these record versions may count the acknowledgement. A record that the process knows and
     * the successor has not read may name another successor by now, so it prevents that too.
     */
    public boolean isCoveredBy(Map<String, Long> knownVersions) {
        return knownVersions.entrySet().stream()
                .allMatch(known -> ownersVersions.getOrDefault(known.getKey(), Long.MAX_VALUE) <= known.getValue());
    }
}

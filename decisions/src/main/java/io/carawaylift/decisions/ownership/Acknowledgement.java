package io.carawaylift.decisions.ownership;

import io.carawaylift.model.EntryProcess;
import java.util.Map;

/**
 * Guarantee of a successor's control program not to take over from {@code owner} for one lease.
 *
 * <p>The owner's control program passes it to the entry program only after it has passed on at least {@code
 * ownersVersions}; otherwise the owner could apply it to an endpoint that it no longer owns without knowing.
 *
 * @param successor host that gives the guarantee
 * @param heartbeat number of the heartbeat that is acknowledged
 * @param ownersVersions versions of the {@code owners/} records known to the successor, by record name
 */
public record Acknowledgement(String successor, EntryProcess owner, long heartbeat, Map<String, Long> ownersVersions) {
    public Acknowledgement {
        ownersVersions = Map.copyOf(ownersVersions);
    }

    /**
     * Returns whether a process with these record versions may use the acknowledgement. A record that the process knows
     * and the successor has not read may already name another successor, so it makes the acknowledgement unusable too.
     */
    public boolean isCoveredBy(Map<String, Long> knownVersions) {
        return knownVersions.entrySet().stream()
                .allMatch(known -> ownersVersions.getOrDefault(known.getKey(), Long.MAX_VALUE) <= known.getValue());
    }
}

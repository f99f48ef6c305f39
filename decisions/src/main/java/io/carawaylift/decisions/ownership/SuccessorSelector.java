package io.carawaylift.decisions.ownership;

import io.carawaylift.model.Member;
import io.carawaylift.model.MemberState;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses successors: active members, those outside the owner's failure domain first, then those with the fewest
 * successor roles.
 */
final class SuccessorSelector {
    private final List<Member> candidates;
    private final Map<String, Integer> roles = new HashMap<>();

    SuccessorSelector(List<Member> live) {
        this.candidates = live.stream()
                .filter(member -> member.state() == MemberState.ACTIVE)
                .toList();
    }

    /** Counts an existing role of a host; null is ignored. */
    void countRole(String successor) {
        if (successor != null) {
            roles.merge(successor, 1, Integer::sum);
        }
    }

    /**
     * Returns a successor and counts its role, or null if there is no candidate.
     *
     * @param ownerDomain failure domain of the owner, null if unknown
     * @param excluded hosts that must not be chosen, the owner's among them
     */
    String choose(String ownerDomain, List<String> excluded) {
        Optional<String> chosen = candidates.stream()
                .filter(member -> !excluded.contains(member.process().host()))
                .min(Comparator.comparing(
                                (Member member) -> member.failureDomain().equals(ownerDomain))
                        .thenComparing(
                                member -> roles.getOrDefault(member.process().host(), 0))
                        .thenComparing(member -> member.process().host()))
                .map(member -> member.process().host());
        chosen.ifPresent(this::countRole);
        return chosen.orElse(null);
    }

    /** Returns whether a candidate that is not excluded exists outside the failure domain. */
    boolean hasCandidateOutside(String failureDomain, List<String> excluded) {
        return candidates.stream()
                .filter(member -> !excluded.contains(member.process().host()))
                .anyMatch(member -> !member.failureDomain().equals(failureDomain));
    }
}

package io.carawaylift.decisions.membership;

import io.carawaylift.model.EntryProcess;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Entry processes that are known to have ended, each with its failure domain. The oldest are dropped. */
final class EndedProcesses {
    /** Far above the restarts of a region in a week (850 a day in 29 regions). */
    private static final int CAPACITY = 4_096;
    /** The newest are written even if no ownership record names them, so that late heartbeats do not revive them. */
    private static final int NEWEST_WRITTEN = 16;

    private final Map<EntryProcess, String> domains = new LinkedHashMap<>();

    void add(String failureDomain, EntryProcess process) {
        domains.putIfAbsent(process, failureDomain);
        if (domains.size() > CAPACITY) {
            domains.remove(domains.keySet().iterator().next());
        }
    }

    boolean contains(EntryProcess process) {
        return domains.containsKey(process);
    }

    /** Returns the ended processes of a failure domain that are in {@code named} or among the newest. */
    List<EntryProcess> toWrite(String failureDomain, Set<EntryProcess> named) {
        List<EntryProcess> ended = new ArrayList<>();
        domains.forEach((process, domain) -> {
            if (domain.equals(failureDomain)) {
                ended.add(process);
            }
        });
        int newest = ended.size() - NEWEST_WRITTEN;
        List<EntryProcess> written = new ArrayList<>();
        for (int i = 0; i < ended.size(); i++) {
            if (i >= newest || named.contains(ended.get(i))) {
                written.add(ended.get(i));
            }
        }
        return written;
    }
}

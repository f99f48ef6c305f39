package io.carawaylift.control;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.peer.Message;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;

/**
 * Notices that entry processes of this host are gone and tells agents, reporter and successors, until no record names the
 * process any more. Used on the decision thread only.
 */
final class EndedWatch {
    private static final Logger LOG = System.getLogger(EndedWatch.class.getName());
    /** Reports go out at least this often, because agents may not have a record that names the process yet. */
    private static final int LEAST_REPORTS = 10;

    private final ControlState state;
    private final Heartbeats heartbeats;
    private final LongFunction<BooleanSupplier> processes;
    private final Map<EntryProcess, BooleanSupplier> running = new LinkedHashMap<>();
    private final Map<EntryProcess, Integer> reports = new HashMap<>();

    EndedWatch(ControlState state, Heartbeats heartbeats, LongFunction<BooleanSupplier> processes) {
        this.state = state;
        this.heartbeats = heartbeats;
        this.processes = processes;
    }

    /** Watches an entry process of this host. */
    void connected(EntryProcess process, long processId) {
        running.put(process, processes.apply(processId));
    }

    /** Looks at all processes and reports those that ended; called once per heartbeat interval. */
    void tick() {
        Map<EntryProcess, BooleanSupplier> before = new LinkedHashMap<>(running);
        before.forEach((process, alive) -> {
            if (!alive.getAsBoolean()) {
                running.remove(process);
                ended(process);
            }
        });
        reports.replaceAll((process, count) -> count + 1);
        reports.entrySet().removeIf(entry -> entry.getValue() > LEAST_REPORTS && !isNamed(entry.getKey()));
        reports.keySet().forEach(this::report);
    }

    private void ended(EntryProcess process) {
        LOG.log(Level.INFO, "entry process {0} is gone", process);
        reports.put(process, 0);
        heartbeats.ended(process);
        state.members().processEnded(state.host().failureDomain(), process);
    }

    private void report(EntryProcess process) {
        long now = state.loop().nowNanos();
        String domain = state.host().failureDomain();
        Set<String> hosts = new HashSet<>(state.members().agents(domain, now));
        state.members().reporter(domain, now).ifPresent(hosts::add);
        hosts.addAll(heartbeats.successorsOf(process));
        hosts.remove(state.host().id());
        hosts.forEach(host -> state.peers().send(host, new Message.ProcessEnded(process)));
    }

    private boolean isNamed(EntryProcess process) {
        return state.records().regionOwners().values().stream().anyMatch(owners -> names(owners.record(), process));
    }

    private static boolean names(OwnersRecord record, EntryProcess process) {
        for (Ownership ownership : record.endpoints()) {
            if (process.equals(ownership.owner()) || process.equals(ownership.previous())) {
                return true;
            }
        }
        return record.members().stream().anyMatch(member -> member.process().equals(process));
    }
}

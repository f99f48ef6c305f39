package io.carawaylift.control;

import io.carawaylift.model.EndpointList;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.RecordNames;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Decides whether the known endpoint lists may be used to confirm that a host was removed. A list that is older than an
 * {@code owners/} record may lack a host of that record, so it is compared with the platform first. Used on the
 * decision thread only.
 */
final class EndpointListVerifier {
    private final Records records;
    private final RecordReader reader;
    private final DecisionLoop loop;
    private final List<Consumer<Boolean>> pendingCallbacks = new ArrayList<>();
    private boolean hasCompared;
    private long lastComparedNanos;

    EndpointListVerifier(Records records, RecordReader reader, DecisionLoop loop) {
        this.records = records;
        this.reader = reader;
        this.loop = loop;
    }

    /**
     * Passes on endpoint lists that contain all hosts of {@code owners}, or that were compared with the platform first.
     *
     * @param owners record to check against, null if there is none
     * @param failed run if the comparison failed
     */
    void whenUsable(OwnersRecord owners, Consumer<Collection<EndpointList>> lists, Runnable failed) {
        if (owners == null || isComplete(hostsOf(owners))) {
            lists.accept(records.regionLists());
            return;
        }
        compare(succeeded -> {
            if (succeeded) {
                lists.accept(records.regionLists());
            } else {
                failed.run();
            }
        });
    }

    /**
     * Returns whether the lists are newer than all {@code owners/} records of the region. If they are not, and lack a
     * host of such a record, starts a comparison with the platform.
     */
    boolean areNewerThanOwners() {
        boolean complete = true;
        boolean newer = hasCompared;
        for (Records.VersionedOwners owners : records.regionOwners().values()) {
            complete = complete && isComplete(hostsOf(owners.record()));
            newer = newer && lastComparedNanos - owners.knownSinceNanos() > 0;
        }
        if (!complete && !newer) {
            compare(succeeded -> {});
        }
        return newer;
    }

    private void compare(Consumer<Boolean> callback) {
        pendingCallbacks.add(callback);
        if (pendingCallbacks.size() == 1) {
            long started = loop.nowNanos();
            reader.refresh(
                    RecordNames.HOSTS_PREFIX, revision -> comparisonSucceeded(started), () -> runCallbacks(false));
        }
    }

    private void comparisonSucceeded(long startedNanos) {
        hasCompared = true;
        lastComparedNanos = startedNanos;
        runCallbacks(true);
    }

    private void runCallbacks(boolean succeeded) {
        List<Consumer<Boolean>> completed = List.copyOf(pendingCallbacks);
        pendingCallbacks.clear();
        completed.forEach(callback -> callback.accept(succeeded));
    }

    private boolean isComplete(Set<String> hosts) {
        Set<String> missing = new HashSet<>(hosts);
        records.regionLists().forEach(list -> missing.removeAll(list.entryHosts()));
        return missing.isEmpty();
    }

    private static Set<String> hostsOf(OwnersRecord owners) {
        Set<String> hosts = new HashSet<>();
        owners.members().forEach(member -> hosts.add(member.process().host()));
        for (Ownership ownership : owners.endpoints()) {
            addHost(hosts, ownership.owner());
            addHost(hosts, ownership.previous());
            addHost(hosts, ownership.next());
            if (ownership.successor() != null) {
                hosts.add(ownership.successor());
            }
        }
        return hosts;
    }

    private static void addHost(Set<String> hosts, EntryProcess process) {
        if (process != null) {
            hosts.add(process.host());
        }
    }
}

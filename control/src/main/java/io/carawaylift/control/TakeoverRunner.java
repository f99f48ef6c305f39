package io.carawaylift.control;

import io.carawaylift.decisions.ownership.OwnersWrite;
import io.carawaylift.model.DomainRecord;
import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.Ownership;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.RecordNames;
import io.carawaylift.model.ResultCode;
import io.carawaylift.platform.RetryPolicy;
import io.carawaylift.platform.StoredObject;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Runs the takeover rules for the endpoints whose successor this host is: reads the records that the rules need and
 * writes the changes that they decide. Used on the decision thread only.
 */
final class TakeoverRunner implements Records.Listener {
    private static final Logger LOG = System.getLogger(TakeoverRunner.class.getName());
    /** Heartbeats that an owner may miss before its {@code domain/} record is read. */
    private static final int MISSED_HEARTBEATS = 2;

    private final ControlState state;
    private final HeartbeatRelay heartbeatRelay;
    private final RetryPolicy retryPolicy;
    private final Map<EntryProcess, Long> lastHeartbeatNanos = new HashMap<>();
    private final Map<String, ReadAttempts> readAttempts = new HashMap<>();
    private final Set<String> writesInFlight = new HashSet<>();

    TakeoverRunner(ControlState state, HeartbeatRelay heartbeatRelay, RetryPolicy retryPolicy) {
        this.state = state;
        this.heartbeatRelay = heartbeatRelay;
        this.retryPolicy = retryPolicy;
    }

    @Override
    public void ownersRead(String name, Records.VersionedOwners owners, boolean fromPlatform) {
        state.takeovers()
                .ownersRead(
                        name,
                        owners.version(),
                        owners.record(),
                        fromPlatform,
                        state.loop().nowNanos());
    }

    /** Records that a heartbeat of the process arrived. */
    void heartbeatReceived(EntryProcess process) {
        lastHeartbeatNanos.put(process, state.loop().nowNanos());
    }

    /** Runs the rules; called once per heartbeat interval. */
    void tick() {
        removeFormerOwners();
        readUnconfirmedOwners();
        readDomainsOfUnresponsiveOwners();
        Member self = heartbeatRelay.localMember().orElse(null);
        long now = state.loop().nowNanos();
        List<Member> live = state.members().live(now);
        for (OwnersWrite write : state.takeovers().writesDue(self, live, terminatedCheck(), now)) {
            write(write);
        }
    }

    /** Returns the number of endpoints whose successor this host is. */
    long endpointCount() {
        return state.records().regionOwners().values().stream()
                .flatMap(owners -> owners.record().endpoints().stream())
                .filter(this::isSuccessor)
                .count();
    }

    private void removeFormerOwners() {
        Set<EntryProcess> owners = new HashSet<>();
        for (Records.VersionedOwners known : state.records().regionOwners().values()) {
            known.record().endpoints().forEach(ownership -> owners.add(ownership.owner()));
        }
        lastHeartbeatNanos.keySet().retainAll(owners);
    }

    private Predicate<EntryProcess> terminatedCheck() {
        if (state.listVerifier().areNewerThanOwners()) {
            return process ->
                    state.members().isTerminated(process, state.records().regionLists());
        }
        return state.members()::hasEnded;
    }

    /**
     * Reads the {@code owners/} records of the region that this run has not read from the platform yet, and those with
     * an unresolved write. Nothing is acknowledged for a record before its first such read.
     */
    private void readUnconfirmedOwners() {
        for (String name : List.copyOf(state.records().regionOwners().keySet())) {
            if (state.takeovers().isReadNeeded(name)) {
                readOwners(name);
            }
        }
    }

    private void readOwners(String name) {
        if (beginRead(name)) {
            state.reader().read(List.of(name), () -> readSucceeded(name), () -> readFailed(name));
        }
    }

    private void readDomainsOfUnresponsiveOwners() {
        Set<String> domains = new HashSet<>();
        for (Records.VersionedOwners owners : state.records().regionOwners().values()) {
            for (Ownership ownership : owners.record().endpoints()) {
                if (isSuccessor(ownership) && hasMissedHeartbeats(ownership.owner())) {
                    domains.add(domainOf(ownership.owner(), owners.record().failureDomain()));
                }
            }
        }
        domains.forEach(this::readDomain);
    }

    private void readDomain(String failureDomain) {
        String name = RecordNames.domain(failureDomain);
        if (!beginRead(name)) {
            return;
        }
        long started = state.loop().nowNanos();
        state.loop()
                .whenDone(
                        state.platform().read(name),
                        found -> {
                            readSucceeded(name);
                            found.ifPresent(object -> domainRead(object, started));
                        },
                        code -> readFailed(name));
    }

    private void domainRead(StoredObject object, long startedNanos) {
        DomainRecord record = RecordCodec.decode(object.value(), DomainRecord.class);
        long now = state.loop().nowNanos();
        state.members().domainRead(record, now);
        state.takeovers().domainRead(record, startedNanos, now);
    }

    private void write(OwnersWrite write) {
        if (!writesInFlight.add(write.name())) {
            return;
        }
        LOG.log(Level.INFO, "writing {0} over version {1} as successor", write.name(), write.expectedVersion());
        state.loop()
                .whenDone(
                        state.platform()
                                .write(write.name(), RecordCodec.encode(write.record()), write.expectedVersion()),
                        written -> {
                            writesInFlight.remove(write.name());
                            state.takeovers()
                                    .writeAccepted(
                                            write,
                                            written.version(),
                                            state.loop().nowNanos());
                            state.records().accept(written.name(), written.version(), written.value(), true);
                        },
                        code -> notWritten(write.name(), code));
    }

    /** Reads the newer version after a conflict. After other failures the rules retry the write. */
    private void notWritten(String name, ResultCode code) {
        writesInFlight.remove(name);
        LOG.log(Level.INFO, "write of {0} as successor failed with {1}", name, code);
        if (code == ResultCode.VERSION_CONFLICT) {
            readOwners(name);
        }
    }

    private boolean beginRead(String name) {
        ReadAttempts attempts = readAttempts.computeIfAbsent(name, key -> new ReadAttempts());
        if (attempts.running || state.loop().nowNanos() - attempts.notBeforeNanos < 0) {
            return false;
        }
        attempts.running = true;
        return true;
    }

    private void readSucceeded(String name) {
        readAttempts.remove(name);
    }

    private void readFailed(String name) {
        ReadAttempts attempts = readAttempts.get(name);
        attempts.running = false;
        attempts.failures++;
        attempts.notBeforeNanos =
                state.loop().nowNanos() + retryPolicy.delay(attempts.failures).toNanos();
    }

    private boolean isSuccessor(Ownership ownership) {
        return state.host().id().equals(ownership.successor());
    }

    private boolean hasMissedHeartbeats(EntryProcess owner) {
        long now = state.loop().nowNanos();
        Long lastNanos = lastHeartbeatNanos.putIfAbsent(owner, now);
        return lastNanos != null
                && now - lastNanos > MISSED_HEARTBEATS * state.durations().heartbeatIntervalNanos();
    }

    private String domainOf(EntryProcess process, String fallback) {
        for (Records.VersionedOwners owners : state.records().regionOwners().values()) {
            for (Member member : owners.record().members()) {
                if (member.process().equals(process)) {
                    return member.failureDomain();
                }
            }
        }
        return fallback;
    }

    /** Read attempts of one record. */
    private static final class ReadAttempts {
        private boolean running;
        private int failures;
        private long notBeforeNanos = System.nanoTime();
    }
}

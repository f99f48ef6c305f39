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
 * Runs the takeover rules for the endpoints whose successor this host is: reads what the rules need and writes what they
 * decide. Used on the decision thread only.
 */
final class Successor implements Records.Listener {
    private static final Logger LOG = System.getLogger(Successor.class.getName());
    /** An owner that missed this many heartbeats is looked up in {@code domain/}. */
    private static final int MISSED_HEARTBEATS = 2;

    private final ControlState state;
    private final Heartbeats heartbeats;
    private final RetryPolicy retry;
    private final Map<EntryProcess, Long> heardNanos = new HashMap<>();
    private final Map<String, Attempts> reads = new HashMap<>();
    private final Set<String> writing = new HashSet<>();

    Successor(ControlState state, Heartbeats heartbeats, RetryPolicy retry) {
        this.state = state;
        this.heartbeats = heartbeats;
        this.retry = retry;
    }

    @Override
    public void ownersRead(String name, Records.Owners owners, boolean fromPlatform) {
        state.takeovers()
                .ownersRead(
                        name,
                        owners.version(),
                        owners.record(),
                        fromPlatform,
                        state.loop().nowNanos());
    }

    /** Records that a heartbeat of the process arrived. */
    void heard(EntryProcess process) {
        heardNanos.put(process, state.loop().nowNanos());
    }

    /** Runs the rules; called once per heartbeat interval. */
    void tick() {
        forgetOwners();
        readUnconfirmedOwners();
        readSilentDomains();
        Member self = heartbeats.self().orElse(null);
        long now = state.loop().nowNanos();
        List<Member> live = state.members().live(now);
        for (OwnersWrite write : state.takeovers().writesDue(self, live, gone(), now)) {
            write(write);
        }
    }

    /** Returns the number of endpoints whose successor this host is. */
    long endpoints() {
        return state.records().regionOwners().values().stream()
                .flatMap(owners -> owners.record().endpoints().stream())
                .filter(this::isSuccessor)
                .count();
    }

    private void forgetOwners() {
        Set<EntryProcess> owners = new HashSet<>();
        for (Records.Owners known : state.records().regionOwners().values()) {
            known.record().endpoints().forEach(ownership -> owners.add(ownership.owner()));
        }
        heardNanos.keySet().retainAll(owners);
    }

    private Predicate<EntryProcess> gone() {
        if (state.lists().areNewerThanOwners()) {
            return process ->
                    state.members().isTerminated(process, state.records().regionLists());
        }
        return state.members()::hasEnded;
    }

    /** Nothing is acknowledged before each record of the region was read from the platform by this run. */
    private void readUnconfirmedOwners() {
        for (String name : List.copyOf(state.records().regionOwners().keySet())) {
            if (state.takeovers().isReadNeeded(name)) {
                readOwners(name);
            }
        }
    }

    private void readOwners(String name) {
        if (begin(name)) {
            state.reader().read(List.of(name), () -> succeeded(name), () -> failed(name));
        }
    }

    private void readSilentDomains() {
        Set<String> domains = new HashSet<>();
        for (Records.Owners owners : state.records().regionOwners().values()) {
            for (Ownership ownership : owners.record().endpoints()) {
                if (isSuccessor(ownership) && isSilent(ownership.owner())) {
                    domains.add(domainOf(ownership.owner(), owners.record().failureDomain()));
                }
            }
        }
        domains.forEach(this::readDomain);
    }

    private void readDomain(String failureDomain) {
        String name = RecordNames.domain(failureDomain);
        if (!begin(name)) {
            return;
        }
        long started = state.loop().nowNanos();
        state.loop()
                .whenDone(
                        state.platform().read(name),
                        found -> {
                            succeeded(name);
                            found.ifPresent(object -> domainRead(object, started));
                        },
                        code -> failed(name));
    }

    private void domainRead(StoredObject object, long startedNanos) {
        DomainRecord record = RecordCodec.decode(object.value(), DomainRecord.class);
        long now = state.loop().nowNanos();
        state.members().domainRead(record, now);
        state.takeovers().domainRead(record, startedNanos, now);
    }

    private void write(OwnersWrite write) {
        if (!writing.add(write.name())) {
            return;
        }
        LOG.log(Level.INFO, "writing {0} over version {1} as successor", write.name(), write.expectedVersion());
        state.loop()
                .whenDone(
                        state.platform()
                                .write(write.name(), RecordCodec.encode(write.record()), write.expectedVersion()),
                        written -> {
                            writing.remove(write.name());
                            state.takeovers()
                                    .writeAccepted(
                                            write,
                                            written.version(),
                                            state.loop().nowNanos());
                            state.records().accept(written.name(), written.version(), written.value(), true);
                        },
                        code -> notWritten(write.name(), code));
    }

    /** A conflict is settled by the newer version; without an answer the rules repeat the write. */
    private void notWritten(String name, ResultCode code) {
        writing.remove(name);
        LOG.log(Level.INFO, "write of {0} as successor ended with {1}", name, code);
        if (code == ResultCode.VERSION_CONFLICT) {
            readOwners(name);
        }
    }

    private boolean begin(String name) {
        Attempts attempts = reads.computeIfAbsent(name, key -> new Attempts());
        if (attempts.running || state.loop().nowNanos() - attempts.notBeforeNanos < 0) {
            return false;
        }
        attempts.running = true;
        return true;
    }

    private void succeeded(String name) {
        reads.remove(name);
    }

    private void failed(String name) {
        Attempts attempts = reads.get(name);
        attempts.running = false;
        attempts.failures++;
        attempts.notBeforeNanos =
                state.loop().nowNanos() + retry.delay(attempts.failures).toNanos();
    }

    private boolean isSuccessor(Ownership ownership) {
        return state.host().id().equals(ownership.successor());
    }

    private boolean isSilent(EntryProcess owner) {
        long now = state.loop().nowNanos();
        Long heard = heardNanos.putIfAbsent(owner, now);
        return heard != null && now - heard > MISSED_HEARTBEATS * state.times().heartbeatIntervalNanos();
    }

    private String domainOf(EntryProcess process, String otherwise) {
        for (Records.Owners owners : state.records().regionOwners().values()) {
            for (Member member : owners.record().members()) {
                if (member.process().equals(process)) {
                    return member.failureDomain();
                }
            }
        }
        return otherwise;
    }

    /** Reads of one record. */
    private static final class Attempts {
        private boolean running;
        private int failures;
        private long notBeforeNanos = System.nanoTime();
    }
}

package io.carawaylift.control;

import io.carawaylift.decisions.ownership.OwnersWrite;
import io.carawaylift.decisions.ownership.OwnershipPlanner;
import io.carawaylift.model.DomainRecord;
import io.carawaylift.model.EndpointList;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.RecordNames;
import io.carawaylift.model.ResultCode;
import io.carawaylift.peer.Message;
import io.carawaylift.platform.PlatformClient;
import io.carawaylift.platform.StoredObject;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Reports for one failure domain: writes its {@code domain/} record, then reads {@code owners/} records, confirms the
 * heartbeats that were written, and writes planned changes of owners. One round runs at a time. Used on the decision
 * thread only.
 */
final class DomainReport {
    private static final Logger LOG = System.getLogger(DomainReport.class.getName());
    private static final long UNKNOWN_VERSION = -1;

    private final String failureDomain;
    private final String self;
    private final boolean isOwnDomain;
    private final ControlState state;
    private final OwnershipPlanner planner;
    private final Consumer<Message.HeartbeatConfirmed> confirmationHandler;
    private final String domainRecordName;
    private final String ownersRecordName;
    private long domainVersion = UNKNOWN_VERSION;
    private boolean running;
    private boolean conflictRetried;

    DomainReport(String failureDomain, ControlState state, Consumer<Message.HeartbeatConfirmed> confirmationHandler) {
        this.failureDomain = failureDomain;
        this.self = state.host().id();
        this.isOwnDomain = failureDomain.equals(state.host().failureDomain());
        this.state = state;
        this.planner = new OwnershipPlanner(failureDomain, state.host().region(), state.durations());
        this.confirmationHandler = confirmationHandler;
        this.domainRecordName = RecordNames.domain(failureDomain);
        this.ownersRecordName = RecordNames.owners(failureDomain);
    }

    /** Starts a round unless one is running. */
    void startRound() {
        if (running) {
            return;
        }
        running = true;
        conflictRetried = false;
        if (domainVersion == UNKNOWN_VERSION || !isOwnDomain) {
            // Members of another failure domain send no heartbeats here, so their record shows whether they are live.
            readDomain(this::writeIfStillReporter);
        } else {
            writeDomain();
        }
    }

    private void readDomain(Runnable callback) {
        state.loop()
                .whenDone(
                        state.platform().read(domainRecordName),
                        found -> runStep(() -> {
                            domainVersion = found.map(StoredObject::version).orElse(PlatformClient.ABSENT);
                            found.ifPresent(this::mergeDomain);
                            callback.run();
                        }),
                        code -> endRound());
    }

    private void mergeDomain(StoredObject object) {
        DomainRecord record;
        try {
            record = RecordCodec.decode(object.value(), DomainRecord.class);
        } catch (IllegalArgumentException e) {
            LOG.log(
                    Level.ERROR,
                    "replacing undecodable record " + domainRecordName + " version " + object.version(),
                    e);
            return;
        }
        state.members().domainRead(record, state.loop().nowNanos());
        record.members().forEach(report -> state.peers().updateAddress(report.member()));
    }

    private void writeIfStillReporter() {
        long now = state.loop().nowNanos();
        if (state.members().reporter(failureDomain, now).filter(self::equals).isPresent()) {
            writeDomain();
        } else {
            endRound();
        }
    }

    private void writeDomain() {
        DomainRecord record =
                state.members().toWrite(failureDomain, self, state.loop().nowNanos());
        state.loop()
                .whenDone(
                        state.platform().write(domainRecordName, RecordCodec.encode(record), domainVersion),
                        written -> runStep(() -> {
                            domainVersion = written.version();
                            readOwners(record);
                        }),
                        this::domainNotWritten);
    }

    private void domainNotWritten(ResultCode code) {
        if (code == ResultCode.VERSION_CONFLICT && !conflictRetried) {
            // Retried at once: a fallback reporter in another failure domain reads and writes once a second. A retry
            // in the next round would lose to it each time, and it would never learn that this domain has a live
            // member.
            conflictRetried = true;
            readDomain(this::writeIfStillReporter);
            return;
        }
        if (code == ResultCode.VERSION_CONFLICT) {
            readDomain(this::endRound);
            return;
        }
        if (code == ResultCode.WRITE_UNRESOLVED) {
            domainVersion = UNKNOWN_VERSION;
        }
        endRound();
    }

    private void readOwners(DomainRecord written) {
        Set<String> names = ownersNames(written);
        state.reader().read(names, () -> runStep(() -> ownersRead(written, names)), this::endRound);
    }

    /** Includes the records of other failure domains of the region in which members own endpoints. */
    private Set<String> ownersNames(DomainRecord written) {
        Set<String> hosts = new HashSet<>();
        written.members().forEach(report -> hosts.add(report.member().process().host()));
        Set<String> names = new HashSet<>();
        names.add(ownersRecordName);
        state.records().regionOwners().forEach((name, owners) -> {
            if (owners.record().endpoints().stream()
                    .anyMatch(ownership -> ownership.owner() != null
                            && hosts.contains(ownership.owner().host()))) {
                names.add(name);
            }
        });
        return names;
    }

    /** Confirms the heartbeats. A confirmation may only contain versions that were read after the write. */
    private void ownersRead(DomainRecord written, Set<String> names) {
        Map<String, Long> versions = new HashMap<>();
        for (String name : names) {
            Records.VersionedOwners owners = state.records().regionOwners().get(name);
            if (owners != null) {
                versions.put(name, owners.version());
            }
        }
        for (MemberReport report : written.members()) {
            confirmationHandler.accept(
                    new Message.HeartbeatConfirmed(report.member().process(), report.heartbeat(), versions));
        }
        plan();
    }

    private void plan() {
        Records.VersionedOwners current = state.records().regionOwners().get(ownersRecordName);
        if (state.records().table().isEmpty()) {
            endRound();
            return;
        }
        OwnersRecord record = current == null ? null : current.record();
        state.listVerifier().whenUsable(record, lists -> runStep(() -> plan(current, lists)), this::endRound);
    }

    private void plan(Records.VersionedOwners current, Collection<EndpointList> lists) {
        Optional<OwnersWrite> write = planner.plan(
                current == null ? PlatformClient.ABSENT : current.version(),
                current == null ? null : current.record(),
                lists,
                state.members(),
                state.records().table().orElseThrow().table(),
                state.loop().nowNanos());
        if (write.isEmpty()) {
            endRound();
            return;
        }
        OwnersWrite planned = write.get();
        state.loop()
                .whenDone(
                        state.platform()
                                .write(planned.name(), RecordCodec.encode(planned.record()), planned.expectedVersion()),
                        written -> runStep(() -> {
                            state.records().accept(written.name(), written.version(), written.value(), true);
                            endRound();
                        }),
                        // The next round reads the record again, which resolves a conflict or a lost response.
                        code -> endRound());
    }

    /** Runs a step of the round. An exception ends the round, so that the next one can start. */
    private void runStep(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "the report for " + failureDomain + " failed", e);
            endRound();
        }
    }

    private void endRound() {
        running = false;
    }
}

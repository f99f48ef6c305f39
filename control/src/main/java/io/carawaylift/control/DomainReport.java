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
 * Reports for one failure domain: writes {@code domain/}, reads {@code owners/} after it, confirms the heartbeats that were
 * written, and writes planned changes of owners. One round at a time. Used on the decision thread only.
 */
final class DomainReport {
    private static final Logger LOG = System.getLogger(DomainReport.class.getName());
    private static final long UNKNOWN = -1;

    private final String failureDomain;
    private final String self;
    private final boolean isOwnDomain;
    private final ControlState state;
    private final OwnershipPlanner planner;
    private final Consumer<Message.HeartbeatConfirmed> confirmed;
    private final String domainName;
    private final String ownersName;
    private long domainVersion = UNKNOWN;
    private boolean running;
    private boolean repeated;

    DomainReport(String failureDomain, ControlState state, Consumer<Message.HeartbeatConfirmed> confirmed) {
        this.failureDomain = failureDomain;
        this.self = state.host().id();
        this.isOwnDomain = failureDomain.equals(state.host().failureDomain());
        this.state = state;
        this.planner = new OwnershipPlanner(failureDomain, state.host().region(), state.times());
        this.confirmed = confirmed;
        this.domainName = RecordNames.domain(failureDomain);
        this.ownersName = RecordNames.owners(failureDomain);
    }

    /** Starts a round unless one is running. */
    void round() {
        if (running) {
            return;
        }
        running = true;
        repeated = false;
        if (domainVersion == UNKNOWN || !isOwnDomain) {
            // Members of another failure domain send no heartbeats here, so their record shows whether they are live.
            readDomain(this::writeIfStillReporter);
        } else {
            writeDomain();
        }
    }

    private void readDomain(Runnable then) {
        state.loop()
                .whenDone(
                        state.platform().read(domainName),
                        found -> step(() -> {
                            domainVersion = found.map(StoredObject::version).orElse(PlatformClient.ABSENT);
                            found.ifPresent(this::merge);
                            then.run();
                        }),
                        code -> end());
    }

    private void merge(StoredObject object) {
        DomainRecord record;
        try {
            record = RecordCodec.decode(object.value(), DomainRecord.class);
        } catch (IllegalArgumentException e) {
            LOG.log(Level.ERROR, "replacing " + domainName + " version " + object.version(), e);
            return;
        }
        state.members().domainRead(record, state.loop().nowNanos());
        record.members().forEach(report -> state.peers().learn(report.member()));
    }

    private void writeIfStillReporter() {
        long now = state.loop().nowNanos();
        if (state.members().reporter(failureDomain, now).filter(self::equals).isPresent()) {
            writeDomain();
        } else {
            end();
        }
    }

    private void writeDomain() {
        DomainRecord record =
                state.members().toWrite(failureDomain, self, state.loop().nowNanos());
        state.loop()
                .whenDone(
                        state.platform().write(domainName, RecordCodec.encode(record), domainVersion),
                        written -> step(() -> {
                            domainVersion = written.version();
                            readOwners(record);
                        }),
                        this::domainNotWritten);
    }

    private void domainNotWritten(ResultCode code) {
        if (code == ResultCode.VERSION_CONFLICT && !repeated) {
            // A member of another failure domain that reports as a last resort reads and writes once a second. Waiting
            // for the
            // next round would lose to it each time, and it would never learn that this failure domain has a live
            // member.
            repeated = true;
            readDomain(this::writeIfStillReporter);
            return;
        }
        if (code == ResultCode.VERSION_CONFLICT) {
            readDomain(this::end);
            return;
        }
        if (code == ResultCode.WRITE_UNRESOLVED) {
            domainVersion = UNKNOWN;
        }
        end();
    }

    private void readOwners(DomainRecord written) {
        Set<String> names = ownersNames(written);
        state.reader().read(names, () -> step(() -> ownersRead(written, names)), this::end);
    }

    /** Members may own endpoints in other failure domains of the region as well. */
    private Set<String> ownersNames(DomainRecord written) {
        Set<String> hosts = new HashSet<>();
        written.members().forEach(report -> hosts.add(report.member().process().host()));
        Set<String> names = new HashSet<>();
        names.add(ownersName);
        state.records().regionOwners().forEach((name, owners) -> {
            if (owners.record().endpoints().stream()
                    .anyMatch(ownership -> ownership.owner() != null
                            && hosts.contains(ownership.owner().host()))) {
                names.add(name);
            }
        });
        return names;
    }

    /** Only records that were read after the write may be part of a confirmation. */
    private void ownersRead(DomainRecord written, Set<String> names) {
        Map<String, Long> versions = new HashMap<>();
        for (String name : names) {
            Records.Owners owners = state.records().regionOwners().get(name);
            if (owners != null) {
                versions.put(name, owners.version());
            }
        }
        for (MemberReport report : written.members()) {
            confirmed.accept(new Message.HeartbeatConfirmed(report.member().process(), report.heartbeat(), versions));
        }
        plan();
    }

    private void plan() {
        Records.Owners current = state.records().regionOwners().get(ownersName);
        if (state.records().table().isEmpty()) {
            end();
            return;
        }
        OwnersRecord record = current == null ? null : current.record();
        state.lists().whenUsable(record, lists -> step(() -> plan(current, lists)), this::end);
    }

    private void plan(Records.Owners current, Collection<EndpointList> lists) {
        Optional<OwnersWrite> write = planner.plan(
                current == null ? PlatformClient.ABSENT : current.version(),
                current == null ? null : current.record(),
                lists,
                state.members(),
                state.records().table().orElseThrow().table(),
                state.loop().nowNanos());
        if (write.isEmpty()) {
            end();
            return;
        }
        OwnersWrite planned = write.get();
        state.loop()
                .whenDone(
                        state.platform()
                                .write(planned.name(), RecordCodec.encode(planned.record()), planned.expectedVersion()),
                        written -> step(() -> {
                            state.records().accept(written.name(), written.version(), written.value(), true);
                            end();
                        }),
                        // The next round reads the record again, which settles a conflict or a lost answer.
                        code -> end());
    }

    /** A failed step ends the round, so that the next one can start. */
    private void step(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "the report for " + failureDomain + " failed", e);
            end();
        }
    }

    private void end() {
        running = false;
    }
}

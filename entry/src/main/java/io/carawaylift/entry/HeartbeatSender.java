package io.carawaylift.entry;

import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.UpstreamMeasure;
import io.carawaylift.peer.ControlLink;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Builds and sends the heartbeats of this process. Thread-safe. */
final class HeartbeatSender {
    private static final double NANOS_PER_SECOND = 1e9;

    private final ControlLink link;
    private final SynchronizedLeaseGuard leases;
    private final QueueShards queueShards;
    private final Supplier<Member> member;
    private final Supplier<Topology> topology;
    private final LongSupplier clock;
    private final Map<String, Counters> previousCounters = new HashMap<>();
    private long previousNanos;
    private long sequenceNumber;

    private record Counters(long dispatched, long refused) {}

    HeartbeatSender(
            ControlLink link,
            SynchronizedLeaseGuard leases,
            QueueShards queueShards,
            Supplier<Member> member,
            Supplier<Topology> topology,
            LongSupplier clock) {
        this.link = link;
        this.leases = leases;
        this.queueShards = queueShards;
        this.member = member;
        this.topology = topology;
        this.clock = clock;
        this.previousNanos = clock.getAsLong();
    }

    /**
     * Sends the next heartbeat. The lease guard is notified before sending, so that no lease is measured from a later
     * time.
     */
    synchronized void send() {
        sequenceNumber++;
        MemberReport report = report();
        leases.heartbeatSent(sequenceNumber);
        link.sendHeartbeat(report);
    }

    private MemberReport report() {
        Topology current = topology.get();
        long version = current == null ? 0 : current.tableVersion();
        return new MemberReport(
                member.get(), sequenceNumber, version, leases.released(queueShards::inFlight), measures());
    }

    private List<UpstreamMeasure> measures() {
        long now = clock.getAsLong();
        double seconds = Math.max(now - previousNanos, TimeUnit.MILLISECONDS.toNanos(1)) / NANOS_PER_SECOND;
        previousNanos = now;
        List<UpstreamMeasure> measures = new ArrayList<>();
        queueShards.localLoads().forEach((upstream, load) -> {
            Counters counters =
                    new Counters(load.load().dispatched(), load.load().refused());
            Counters previous = previousCounters.getOrDefault(upstream, new Counters(0, 0));
            previousCounters.put(upstream, counters);
            measures.add(new UpstreamMeasure(
                    upstream,
                    load.load().inFlight(),
                    (counters.dispatched - previous.dispatched) / seconds,
                    (counters.refused - previous.refused) / seconds,
                    load.usableSlots()));
        });
        return measures;
    }
}

package io.carawaylift.control;

import io.carawaylift.model.EntryProcess;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.RecordNames;
import io.carawaylift.model.Release;
import io.carawaylift.peer.ControlLink;
import io.carawaylift.peer.ControlLinks;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** An entry program that only sends heartbeats and records what it receives. */
final class FakeEntry implements ControlLink.Listener, AutoCloseable {
    private final Member member;
    private final ControlLink link;
    private final AtomicLong heartbeat = new AtomicLong();
    private final AtomicLong confirmed = new AtomicLong();
    private final Map<String, Long> acknowledged = new ConcurrentHashMap<>();
    private final Map<String, Long> versions = new ConcurrentHashMap<>();
    private final Map<String, OwnersRecord> owners = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private volatile boolean synchronizedOnce;

    FakeEntry(Member member, long heartbeatMillis) {
        this.member = member;
        this.link = ControlLinks.builder()
                .address(member.controlAddress())
                .identity(new ControlLink.Identity("entry", member.process(), 1))
                .build();
        link.start(this);
        ScheduledFuture<?> unused = timer.scheduleWithFixedDelay(this::send, 0, heartbeatMillis, TimeUnit.MILLISECONDS);
    }

    EntryProcess process() {
        return member.process();
    }

    boolean isSynchronized() {
        return synchronizedOnce;
    }

    long version(String record) {
        return versions.getOrDefault(record, 0L);
    }

    long lastHeartbeat() {
        return heartbeat.get();
    }

    long lastConfirmed() {
        return confirmed.get();
    }

    /** Returns the number of the newest heartbeat that the successor acknowledged, 0 if none. */
    long lastAcknowledged(String successor) {
        return acknowledged.getOrDefault(successor, 0L);
    }

    private void send() {
        List<Release> released = new ArrayList<>();
        for (OwnersRecord record : owners.values()) {
            record.endpoints().stream()
                    .filter(entry -> entry.next() != null && process().equals(entry.owner()))
                    .forEach(entry -> released.add(new Release(entry.endpoint(), entry.epoch())));
        }
        link.sendHeartbeat(
                new MemberReport(member, heartbeat.incrementAndGet(), version(RecordNames.TABLE), released, List.of()));
    }

    @Override
    public void recordChanged(String name, long version, RecordBytes value) {
        versions.merge(name, version, Math::max);
        if (name.startsWith(RecordNames.OWNERS_PREFIX)) {
            owners.put(name, RecordCodec.decode(value, OwnersRecord.class));
        }
    }

    @Override
    public void platformConfirmed(long number, Map<String, Long> ownersVersions) {
        confirmed.accumulateAndGet(number, Math::max);
    }

    @Override
    public void successorAcknowledged(String successorHost, long number) {
        acknowledged.merge(successorHost, number, Math::max);
    }

    @Override
    public void synchronizedWithControl() {
        synchronizedOnce = true;
    }

    @Override
    public void disconnected() {}

    @Override
    public void close() {
        timer.shutdownNow();
        link.stop();
    }
}

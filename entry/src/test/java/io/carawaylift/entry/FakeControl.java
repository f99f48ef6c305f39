package io.carawaylift.entry;

import io.carawaylift.model.MemberReport;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.RecordNames;
import io.carawaylift.peer.ControlLink;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Fake of the control programs of all hosts: delivers records and confirms every heartbeat immediately. */
final class FakeControl {
    private final Map<String, RecordBytes> records = new LinkedHashMap<>();
    private final Map<String, Long> versions = new HashMap<>();
    private final List<Link> links = new ArrayList<>();

    /** Publishes the next version of a record to all started links. */
    synchronized void publish(String name, Object record) {
        records.put(name, RecordCodec.encode(record));
        versions.merge(name, 1L, Long::sum);
        links.forEach(link -> link.listener.recordChanged(name, versions.get(name), records.get(name)));
    }

    synchronized void synchronizeAll() {
        links.forEach(link -> link.listener.synchronizedWithControl());
    }

    ControlLink link() {
        return new Link();
    }

    private synchronized void confirm(Link link, MemberReport report) {
        Map<String, Long> owners = new HashMap<>();
        versions.forEach((name, version) -> {
            if (name.startsWith(RecordNames.OWNERS_PREFIX)) {
                owners.put(name, version);
            }
        });
        link.listener.platformConfirmed(report.heartbeat(), owners);
    }

    private final class Link implements ControlLink {
        private Listener listener;

        @Override
        public void start(Listener newListener) {
            listener = newListener;
            synchronized (FakeControl.this) {
                links.add(this);
            }
        }

        @Override
        public void stop() {
            synchronized (FakeControl.this) {
                links.remove(this);
            }
        }

        @Override
        public void sendHeartbeat(MemberReport report) {
            confirm(this, report);
        }
    }
}

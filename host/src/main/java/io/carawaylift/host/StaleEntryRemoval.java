package io.carawaylift.host;

import io.carawaylift.decisions.relay.EntryCollector;
import io.carawaylift.platform.store.ObjectStoreClient;
import io.carawaylift.platform.store.StoreKinds;
import java.util.Map;
import java.util.Set;

/** Removes the entries of hosts that are gone from the store, one at a time. Used on the event loop only. */
final class StaleEntryRemoval {
    private final ObjectStoreClient store;
    private final HostLoop loop;
    private final EventLog log;
    private final EntryCollector collector = new EntryCollector();

    StaleEntryRemoval(ObjectStoreClient store, HostLoop loop, EventLog log) {
        this.store = store;
        this.loop = loop;
        this.log = log;
    }

    /**
     * Takes note of the live hosts and removes an entry if one is due.
     *
     * @param revisions revisions of the entries of the region, by name
     * @param live names of the live hosts, including this one
     * @param first whether this host is the one that removes the entries of its region
     */
    void run(Map<String, Long> revisions, Set<String> live, boolean first) {
        long now = System.nanoTime();
        collector.update(revisions.keySet(), live::contains, now);
        if (first) {
            collector.next(now).ifPresent(name -> remove(name, revisions.get(name)));
        }
    }

    private void remove(String name, long revision) {
        loop.handle(store.delete(StoreKinds.HOSTS, name, revision), (done, failure) -> {
            // A failed removal is tried again: the entry stays listed until the store reports that it is gone.
            log.event(
                    failure == null ? "member.entry_removed" : "member.entry_not_removed",
                    line -> line.put("member", name).put("revision", revision));
        });
    }
}

package io.carawaylift.lookup;

import io.carawaylift.decisions.address.AddressMap;
import io.carawaylift.model.AcceptedTable;
import io.carawaylift.model.AddressBlockList;
import io.carawaylift.model.Member;
import io.carawaylift.model.OwnersRecord;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.RecordNames;
import io.carawaylift.peer.ControlLink;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Extracts from the records what lookups need and publishes it as an immutable view. Thread-safe; the view is read
 * without a lock.
 */
final class LookupRecords implements ControlLink.Listener {
    private static final Logger LOG = System.getLogger(LookupRecords.class.getName());

    private final Map<String, Long> recordVersions = new HashMap<>();
    private final Map<String, List<Member>> membersByRecord = new HashMap<>();
    private AddressMap addresses = AddressMap.empty();
    private long lifetimeMillis;
    private boolean isSynchronized;
    private volatile View view;

    /** An immutable snapshot for lookups. */
    record View(EntryDirectory directory, AddressMap addresses, long lifetimeMillis) {}

    /** Returns the newest view; empty until all records, including a table, were received. */
    Optional<View> view() {
        return Optional.ofNullable(view);
    }

    @Override
    public synchronized void recordChanged(String name, long version, RecordBytes value) {
        if (recordVersions.getOrDefault(name, -1L) >= version) {
            return;
        }
        recordVersions.put(name, version);
        if (name.equals(RecordNames.TABLE)) {
            lifetimeMillis =
                    RecordCodec.decode(value, AcceptedTable.class).table().lookupLifetimeMs();
        } else if (name.startsWith(RecordNames.OWNERS_PREFIX)) {
            membersByRecord.put(
                    name, RecordCodec.decode(value, OwnersRecord.class).members());
        } else if (name.startsWith(RecordNames.BLOCKS_PREFIX)) {
            addresses = addresses.with(listNumber(name), RecordCodec.decode(value, AddressBlockList.class));
        }
        publish();
    }

    @Override
    public synchronized void synchronizedWithControl() {
        isSynchronized = true;
        publish();
    }

    /** Keeps the last view: stale hosts are better than none, and callers try the next host of the response. */
    @Override
    public void disconnected() {
        LOG.log(Level.WARNING, "connection to the control program lost; serving lookups from the last known records");
    }

    @Override
    public void platformConfirmed(long heartbeat, Map<String, Long> ownersVersions) {}

    @Override
    public void successorAcknowledged(String successorHost, long heartbeat) {}

    private static int listNumber(String name) {
        return Integer.parseInt(name.substring(RecordNames.BLOCKS_PREFIX.length()));
    }

    private void publish() {
        if (!isSynchronized || lifetimeMillis == 0) {
            return;
        }
        List<Member> members = new ArrayList<>();
        membersByRecord.values().forEach(members::addAll);
        view = new View(EntryDirectory.of(members), addresses, lifetimeMillis);
    }
}

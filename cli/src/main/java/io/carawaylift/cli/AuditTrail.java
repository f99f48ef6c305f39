package io.carawaylift.cli;

import io.carawaylift.model.AuditEntry;
import io.carawaylift.model.AuditPage;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.RecordCodec;
import io.carawaylift.model.RecordNames;
import io.carawaylift.model.ResultCode;
import io.carawaylift.platform.PlatformClient;
import io.carawaylift.platform.StoredObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Stores the accepted changes in the platform, in pages of bounded size. */
final class AuditTrail {
    private static final int MAX_WRITE_ATTEMPTS = 5;

    private final PlatformClient platform;

    AuditTrail(PlatformClient platform) {
        this.platform = platform;
    }

    /**
     * Adds the entry unless its change is already in the trail. Retries the conditional update after a version conflict or
     * an unresolved write.
     */
    void addIfAbsent(AuditEntry entry) {
        for (int attempt = 1; ; attempt++) {
            try {
                tryAddIfAbsent(entry);
                return;
            } catch (CarawayliftException e) {
                boolean retryable = e.code() == ResultCode.VERSION_CONFLICT || e.code() == ResultCode.WRITE_UNRESOLVED;
                if (!retryable || attempt == MAX_WRITE_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    /** Returns the entry of a change, or empty if it is not in the trail. */
    Optional<AuditEntry> find(long version, String changeId) {
        return page(version).stream()
                .flatMap(stored -> entries(stored).stream())
                .filter(entry -> entry.changeId().equals(changeId))
                .findFirst();
    }

    /** Returns at most {@code limit} entries up to {@code newestVersion}, newest first. */
    List<AuditEntry> newest(long newestVersion, int limit) {
        List<AuditEntry> found = new ArrayList<>();
        long version = newestVersion;
        while (version > 0 && found.size() < limit) {
            List<AuditEntry> entries = page(version).map(AuditTrail::entries).orElse(List.of());
            for (int i = entries.size() - 1; i >= 0 && found.size() < limit; i--) {
                found.add(entries.get(i));
            }
            version = (version / AuditPage.CAPACITY) * AuditPage.CAPACITY - 1;
        }
        return found;
    }

    private void tryAddIfAbsent(AuditEntry entry) {
        Optional<StoredObject> stored = page(entry.toVersion());
        List<AuditEntry> entries =
                new ArrayList<>(stored.map(AuditTrail::entries).orElse(List.of()));
        if (entries.stream().anyMatch(present -> present.changeId().equals(entry.changeId()))) {
            return;
        }
        entries.add(entry);
        long expected = stored.map(StoredObject::version).orElse(PlatformClient.ABSENT);
        String name = RecordNames.audit(entry.toVersion());
        Futures.await(platform.write(name, RecordCodec.encode(new AuditPage(entries)), expected));
    }

    private Optional<StoredObject> page(long version) {
        return Futures.await(platform.read(RecordNames.audit(version)));
    }

    private static List<AuditEntry> entries(StoredObject stored) {
        return RecordCodec.decode(stored.value(), AuditPage.class).entries();
    }
}

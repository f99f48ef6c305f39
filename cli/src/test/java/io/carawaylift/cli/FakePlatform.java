package io.carawaylift.cli;

import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.RecordBytes;
import io.carawaylift.model.ResultCode;
import io.carawaylift.platform.PlatformChanges;
import io.carawaylift.platform.PlatformClient;
import io.carawaylift.platform.StoredObject;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** In-memory platform that can lose the responses to writes and run a concurrent change before a write. */
final class FakePlatform implements PlatformClient {
    private final Map<String, StoredObject> objects = new TreeMap<>();
    private long revision;
    private int responsesToLose;
    private Runnable beforeNextWrite = () -> {};

    /** Applies the next {@code count} writes but fails them with {@link ResultCode#WRITE_UNRESOLVED}. */
    void loseResponses(int count) {
        responsesToLose = count;
    }

    /** Runs {@code action} once, before the expected version of the next write is checked. */
    void beforeNextWrite(Runnable action) {
        beforeNextWrite = action;
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> read(String name) {
        return CompletableFuture.completedFuture(Optional.ofNullable(objects.get(name)));
    }

    @Override
    public CompletableFuture<StoredObject> write(String name, RecordBytes value, long expectedVersion) {
        Runnable action = beforeNextWrite;
        beforeNextWrite = () -> {};
        action.run();
        StoredObject present = objects.get(name);
        long version = present == null ? ABSENT : present.version();
        if (version != expectedVersion) {
            return CompletableFuture.failedFuture(new CarawayliftException(ResultCode.VERSION_CONFLICT, name));
        }
        revision++;
        StoredObject stored = new StoredObject(name, revision, value);
        objects.put(name, stored);
        if (responsesToLose > 0) {
            responsesToLose--;
            return CompletableFuture.failedFuture(new CarawayliftException(ResultCode.WRITE_UNRESOLVED, name));
        }
        return CompletableFuture.completedFuture(stored);
    }

    @Override
    public CompletableFuture<PlatformChanges> watch(String prefix, long afterRevision, Duration wait) {
        return list(prefix);
    }

    @Override
    public CompletableFuture<PlatformChanges> list(String prefix) {
        return CompletableFuture.completedFuture(new PlatformChanges(
                revision,
                objects.values().stream()
                        .filter(object -> object.name().startsWith(prefix))
                        .map(object -> new PlatformChanges.ObjectVersion(object.name(), object.version()))
                        .toList()));
    }
}

package io.carawaylift.control;

import io.carawaylift.model.RecordNames;
import io.carawaylift.platform.PlatformChanges;
import io.carawaylift.platform.PlatformClient;
import io.carawaylift.platform.StoredObject;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;

/** Reads records from the platform into {@link Records}, a few at a time. Used on the decision thread only. */
final class RecordReader {
    private static final Logger LOG = System.getLogger(RecordReader.class.getName());
    /** Bounds the load of one program that starts or catches up after an outage. */
    private static final int MAX_CONCURRENT_READS = 8;

    private final PlatformClient platform;
    private final Records records;
    private final DecisionLoop loop;

    RecordReader(PlatformClient platform, Records records, DecisionLoop loop) {
        this.platform = platform;
        this.records = records;
        this.loop = loop;
    }

    /**
     * Lists the records with a prefix and reads those that are newer than known, and the owners of the region that this
     * process has never read from the platform itself.
     *
     * @param done called with the revision of the list after all reads succeeded
     */
    void refresh(String prefix, LongConsumer done, Runnable failed) {
        loop.whenDone(
                platform.list(prefix),
                listed -> read(namesToRead(listed), () -> done.accept(listed.revision()), failed),
                code -> failed.run());
    }

    /** Returns the names of the replicated records in an answer that are to be read. */
    List<String> namesToRead(PlatformChanges changes) {
        return changes.changes().stream()
                .filter(change -> RecordNames.isReplicated(change.name()))
                .filter(change -> isReadNeeded(change.name(), change.version()))
                .map(PlatformChanges.ObjectVersion::name)
                .distinct()
                .toList();
    }

    /** Reads records; one that does not exist is passed over. Calls exactly one of the two tasks. */
    void read(Collection<String> names, Runnable done, Runnable failed) {
        new ReadBatch(names, done, failed).start();
    }

    private boolean isReadNeeded(String name, long version) {
        long known = records.store().read(name).map(entry -> entry.version()).orElse(0L);
        return version > known || (records.regionOwners().containsKey(name) && !records.isReadFromPlatform(name));
    }

    /** Reads of one call. */
    private final class ReadBatch {
        private final Deque<String> remainingNames;
        private final Runnable done;
        private final Runnable failed;
        private int inFlight;
        private boolean finished;

        ReadBatch(Collection<String> names, Runnable done, Runnable failed) {
            this.remainingNames = new ArrayDeque<>(names);
            this.done = done;
            this.failed = failed;
        }

        void start() {
            if (remainingNames.isEmpty() && inFlight == 0) {
                finish(done);
            }
            while (!remainingNames.isEmpty() && inFlight < MAX_CONCURRENT_READS) {
                inFlight++;
                loop.whenDone(platform.read(remainingNames.remove()), this::readSucceeded, code -> finish(failed));
            }
        }

        private void readSucceeded(Optional<StoredObject> found) {
            inFlight--;
            try {
                found.ifPresent(object -> records.accept(object.name(), object.version(), object.value(), true));
            } catch (RuntimeException e) {
                LOG.log(Level.ERROR, "a record that was read cannot be taken", e);
                finish(failed);
            }
            if (!finished) {
                start();
            }
        }

        private void finish(Runnable task) {
            if (!finished) {
                finished = true;
                remainingNames.clear();
                task.run();
            }
        }
    }
}

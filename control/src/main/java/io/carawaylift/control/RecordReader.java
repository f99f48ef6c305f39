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

/**
 * Reads records from the platform into {@link Records}, with a limited number of concurrent reads. Used on the decision
 * thread only.
 */
final class RecordReader {
    private static final Logger LOG = System.getLogger(RecordReader.class.getName());
    /** Limits the load on the platform when a program starts or catches up after an outage. */
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
     * Lists the records with a prefix and reads those that are newer than the known versions, and the {@code owners/}
     * records of the region that this process has never read directly from the platform.
     *
     * @param done called with the revision of the list after all reads succeeded
     */
    void refresh(String prefix, LongConsumer done, Runnable failed) {
        loop.whenDone(
                platform.list(prefix),
                listed -> read(namesToRead(listed), () -> done.accept(listed.revision()), failed),
                code -> failed.run());
    }

    /** Returns the names of the replicated records in a response of the platform that have to be read. */
    List<String> namesToRead(PlatformChanges changes) {
        return changes.changes().stream()
                .filter(change -> RecordNames.isReplicated(change.name()))
                .filter(change -> isReadNeeded(change.name(), change.version()))
                .map(PlatformChanges.ObjectVersion::name)
                .distinct()
                .toList();
    }

    /** Reads records and skips those that do not exist. Runs exactly one of the two tasks when it has finished. */
    void read(Collection<String> names, Runnable done, Runnable failed) {
        new ReadBatch(names, done, failed).start();
    }

    private boolean isReadNeeded(String name, long version) {
        long known = records.store().read(name).map(entry -> entry.version()).orElse(0L);
        return version > known || (records.regionOwners().containsKey(name) && !records.isReadFromPlatform(name));
    }

    /** The reads of one call of {@link #read}. */
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
                LOG.log(Level.ERROR, "cannot store a record that was read from the platform", e);
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

package io.carawaylift.control;

import io.carawaylift.platform.PlatformChanges;
import io.carawaylift.platform.PlatformClient;
import io.carawaylift.platform.RetryPolicy;
import java.time.Duration;
import java.util.List;

/**
 * Watches the platform on an agent. After a failure all records are listed again, because changes may have been missed.
 * Used on the decision thread only.
 */
final class PlatformWatch {
    /**
     * Short, so that a watch on an unresponsive connection is replaced well within the 6 s in which a new table must
     * arrive.
     */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(2);
    /** Limits the calls per agent: {@code domain/} records change every second and complete a watch immediately. */
    private static final Duration PAUSE_BETWEEN_CALLS = Duration.ofMillis(500);

    private static final String ALL_RECORDS = "";
    private static final long UNKNOWN_REVISION = -1;

    private final PlatformClient platform;
    private final RecordReader reader;
    private final DecisionLoop loop;
    private final RetryPolicy retry;
    private final Runnable onListed;
    private long revision = UNKNOWN_REVISION;
    private int failures;
    private boolean enabled;
    private boolean running;

    /** Creates a watch; {@code onListed} is called after all records were listed and read. */
    PlatformWatch(
            PlatformClient platform, RecordReader reader, DecisionLoop loop, RetryPolicy retry, Runnable onListed) {
        this.platform = platform;
        this.reader = reader;
        this.loop = loop;
        this.retry = retry;
        this.onListed = onListed;
    }

    /** Starts or stops the watch; a stop takes effect after the current call. */
    void setEnabled(boolean newEnabled) {
        enabled = newEnabled;
        if (enabled && !running) {
            running = true;
            revision = UNKNOWN_REVISION;
            next();
        }
    }

    private void next() {
        if (!enabled) {
            running = false;
        } else if (revision == UNKNOWN_REVISION) {
            reader.refresh(ALL_RECORDS, this::listed, this::failed);
        } else {
            loop.whenDone(platform.watch(ALL_RECORDS, revision, WATCH_TIMEOUT), this::changed, code -> failed());
        }
    }

    private void listed(long newRevision) {
        onListed.run();
        advance(newRevision);
    }

    private void changed(PlatformChanges changes) {
        List<String> names = reader.namesToRead(changes);
        reader.read(names, () -> advance(changes.revision()), this::failed);
    }

    private void advance(long newRevision) {
        failures = 0;
        revision = newRevision;
        loop.after(PAUSE_BETWEEN_CALLS, this::next);
    }

    private void failed() {
        failures++;
        revision = UNKNOWN_REVISION;
        loop.after(retry.delay(failures).plus(PAUSE_BETWEEN_CALLS), this::next);
    }
}

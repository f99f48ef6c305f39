package io.carawaylift.control;

import io.carawaylift.platform.PlatformChanges;
import io.carawaylift.platform.PlatformClient;
import io.carawaylift.platform.RetryPolicy;
import java.time.Duration;
import java.util.List;

/**
 * The watch that an agent holds on the platform. After a failure all records are listed again, because changes may have been
 * missed. Used on the decision thread only.
 */
final class PlatformWatch {
    /** Short, so that a watch on a connection that went silent is replaced well within the 6 s for a new table. */
    private static final Duration WAIT = Duration.ofSeconds(2);
    /** Records {@code domain/} change every second and end a watch at once; the pause bounds the calls per agent. */
    private static final Duration PAUSE = Duration.ofMillis(500);

    private static final String EVERYTHING = "";
    private static final long UNKNOWN = -1;

    private final PlatformClient platform;
    private final RecordReader reader;
    private final DecisionLoop loop;
    private final RetryPolicy retry;
    private final Runnable answered;
    private long revision = UNKNOWN;
    private int failures;
    private boolean wanted;
    private boolean running;

    /** Creates a watch; {@code answered} is called after all records were listed and read. */
    PlatformWatch(
            PlatformClient platform, RecordReader reader, DecisionLoop loop, RetryPolicy retry, Runnable answered) {
        this.platform = platform;
        this.reader = reader;
        this.loop = loop;
        this.retry = retry;
        this.answered = answered;
    }

    /** Starts or ends the watch; an end takes effect after the present call. */
    void setWanted(boolean newWanted) {
        wanted = newWanted;
        if (wanted && !running) {
            running = true;
            revision = UNKNOWN;
            next();
        }
    }

    private void next() {
        if (!wanted) {
            running = false;
        } else if (revision == UNKNOWN) {
            reader.refresh(EVERYTHING, this::listed, this::failed);
        } else {
            loop.whenDone(platform.watch(EVERYTHING, revision, WAIT), this::changed, code -> failed());
        }
    }

    private void listed(long newRevision) {
        answered.run();
        advance(newRevision);
    }

    private void changed(PlatformChanges changes) {
        List<String> names = reader.wanted(changes);
        reader.read(names, () -> advance(changes.revision()), this::failed);
    }

    private void advance(long newRevision) {
        failures = 0;
        revision = newRevision;
        loop.after(PAUSE, this::next);
    }

    private void failed() {
        failures++;
        revision = UNKNOWN;
        loop.after(retry.delay(failures).plus(PAUSE), this::next);
    }
}

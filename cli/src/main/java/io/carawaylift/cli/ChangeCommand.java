package io.carawaylift.cli;

import com.github.rvesse.airline.annotations.Option;
import io.carawaylift.model.AcceptedTable;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import io.carawaylift.model.Table;
import io.carawaylift.platform.PlatformClient;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Base class of the commands that change the accepted table. */
abstract class ChangeCommand extends OperatorCommand {
    private static final Logger LOG = System.getLogger(ChangeCommand.class.getName());
    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    @Option(
            name = {"--reason"},
            title = "text",
            description = "Reason for the change, recorded in the audit trail")
    private String reason = "";

    @Option(
            name = {"--author"},
            title = "name",
            description = "Author of the change; defaults to the login name")
    private String author = System.getProperty("user.name");

    @Option(
            name = {"--base"},
            title = "version",
            description = "Fail unless this is the accepted version")
    private long baseVersion = -1;

    @Option(
            name = {"--wait"},
            description = "Wait until the change is in force on every live host")
    private boolean wait;

    @Option(
            name = {"--timeout"},
            title = "seconds",
            description = "Maximum wait with --wait")
    private int timeoutSeconds = 30;

    /** Returns the table to accept in place of {@code current}. */
    abstract Table change(Table current);

    @Override
    final int run() {
        PlatformClient platform = platform();
        TableStore store = new TableStore(platform, Clock.systemUTC());
        Optional<TableStore.Snapshot> base = store.read();
        checkBaseVersion(base);
        Table changed = change(TableStore.rows(base));
        if (base.isPresent() && base.get().accepted().table().equals(changed)) {
            out().println("version " + base.get().accepted().version() + " already has these rows");
            return EXIT_OK;
        }
        AcceptedTable accepted = store.replace(base, changed, author, reason);
        LOG.log(Level.INFO, "table changed: {0}", accepted.auditEntry());
        out().println("accepted version " + accepted.version() + " change " + accepted.changeId());
        return wait ? awaitInForce(platform, accepted.version()) : EXIT_OK;
    }

    private void checkBaseVersion(Optional<TableStore.Snapshot> base) {
        long version = base.map(snapshot -> snapshot.accepted().version()).orElse(0L);
        if (baseVersion >= 0 && version != baseVersion) {
            throw new CarawayliftException(
                    ResultCode.VERSION_CONFLICT, "accepted version is " + version + ", not " + baseVersion);
        }
    }

    private int awaitInForce(PlatformClient platform, long version) {
        long startNanos = System.nanoTime();
        long deadlineNanos = startNanos + Duration.ofSeconds(timeoutSeconds).toNanos();
        List<String> outdatedHosts = FleetView.read(platform).hostsWithOlderTable(version);
        while (!outdatedHosts.isEmpty() && System.nanoTime() < deadlineNanos) {
            sleep();
            outdatedHosts = FleetView.read(platform).hostsWithOlderTable(version);
        }
        if (!outdatedHosts.isEmpty()) {
            throw new CarawayliftException(
                    ResultCode.NOT_IN_FORCE, "version " + version + " is not in force on " + outdatedHosts);
        }
        long elapsedMillis = Duration.ofNanos(System.nanoTime() - startNanos).toMillis();
        out().println("in force on every live host after " + elapsedMillis + " ms");
        return EXIT_OK;
    }

    private static void sleep() {
        try {
            Thread.sleep(POLL_INTERVAL.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CarawayliftException(ResultCode.NOT_IN_FORCE, "interrupted while waiting", e);
        }
    }
}

package io.carawaylift.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.carawaylift.model.AuditEntry;
import io.carawaylift.platform.PlatformClient;
import java.time.Clock;
import java.util.Optional;

/** Lists the accepted changes, newest first. */
@Command(name = "history", description = "List accepted changes, newest first")
public final class HistoryCommand extends OperatorCommand {
    @Option(
            name = {"--limit"},
            title = "changes",
            description = "Maximum number of changes to list")
    private int limit = 20;

    @Option(
            name = {"--format"},
            title = "format",
            description = "text, or json for one JSON object per line")
    private String format = "text";

    @Override
    int run() {
        PlatformClient platform = platform();
        Optional<TableStore.Snapshot> accepted = new TableStore(platform, Clock.systemUTC()).read();
        AuditTrail audit = new AuditTrail(platform);
        accepted.ifPresent(snapshot -> audit.addIfAbsent(snapshot.accepted().auditEntry()));
        long newestVersion =
                accepted.map(snapshot -> snapshot.accepted().version()).orElse(0L);
        audit.newest(newestVersion, limit).forEach(this::print);
        return EXIT_OK;
    }

    private void print(AuditEntry entry) {
        if (format.equals("json")) {
            out().println(JsonText.line(entry));
            return;
        }
        out().println("version " + entry.toVersion() + " (from " + entry.fromVersion() + ") at " + entry.at() + " by "
                + entry.author() + " change " + entry.changeId());
        out().println("  reason: " + (entry.reason().isEmpty() ? "(none given)" : entry.reason()));
        entry.changes().forEach(change -> out().println("  " + change));
    }
}

package io.carawaylift.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.ResultCode;
import io.carawaylift.platform.PlatformClient;
import java.time.Clock;
import java.util.List;

/** Prints the wanted, effective and measured values of each upstream, and the reason for each difference. */
@Command(name = "show", description = "Show the table: wanted, in force, measured, and why they differ")
public final class ShowCommand extends OperatorCommand {
    @Option(
            name = {"--format"},
            title = "format",
            description = "text, csv or json")
    private String format = "text";

    @Override
    int run() {
        PlatformClient platform = platform();
        TableStore.Snapshot snapshot = new TableStore(platform, Clock.systemUTC())
                .read()
                .orElseThrow(() -> new CarawayliftException(ResultCode.NOT_FOUND, "there is no accepted table yet"));
        FleetView fleet = FleetView.read(platform);
        List<List<String>> rows = new TableReport(snapshot.accepted(), fleet).rows();
        if (format.equals("text")) {
            out().println("accepted version " + snapshot.accepted().version() + " by "
                    + snapshot.accepted().author() + " at "
                    + snapshot.accepted().at());
        }
        out().print(Sheet.of(TableReport.COLUMNS, rows).format(format));
        return EXIT_OK;
    }
}

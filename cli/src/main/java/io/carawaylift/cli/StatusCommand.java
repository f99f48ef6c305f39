package io.carawaylift.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.carawaylift.model.Member;
import io.carawaylift.model.MemberReport;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Lists the entry hosts with their state, table version in force and number of owned endpoints. */
@Command(name = "status", description = "List entry hosts with their state and table version")
public final class StatusCommand extends OperatorCommand {
    @Option(
            name = {"--format"},
            title = "format",
            description = "text, csv or json")
    private String format = "text";

    @Override
    int run() {
        FleetView fleet = FleetView.read(platform());
        List<List<String>> rows = new ArrayList<>();
        for (Member member : fleet.members()) {
            rows.add(row(fleet, member));
        }
        List<String> columns =
                List.of("host", "incarnation", "region", "failure_domain", "state", "table", "heartbeat", "endpoints");
        out().print(Sheet.of(columns, rows).format(format));
        return EXIT_OK;
    }

    private static List<String> row(FleetView fleet, Member member) {
        Optional<MemberReport> report = fleet.report(member);
        long owned = fleet.owners().stream()
                .flatMap(record -> record.endpoints().stream())
                .filter(ownership -> member.process().equals(ownership.owner()))
                .count();
        return List.of(
                member.process().host(),
                Long.toString(member.process().incarnation()),
                member.region(),
                member.failureDomain(),
                member.state().toString(),
                report.map(found -> Long.toString(found.tableVersion())).orElse("-"),
                report.map(found -> Long.toString(found.heartbeat())).orElse("-"),
                Long.toString(owned));
    }
}

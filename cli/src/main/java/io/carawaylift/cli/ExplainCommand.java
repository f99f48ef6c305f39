package io.carawaylift.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.carawaylift.model.AuditEntry;
import io.carawaylift.model.CarawayliftException;
import io.carawaylift.model.Member;
import io.carawaylift.model.ResultCode;
import io.carawaylift.platform.PlatformClient;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Prints how a request was handled, or what a change of the table contained. */
@Command(name = "explain", description = "Explain a request id or a change id")
public final class ExplainCommand extends OperatorCommand {
    private static final int MAX_SEARCHED_CHANGES = 5_000;
    private static final int HTTP_OK = 200;

    @Required
    @Arguments(title = "id", description = "Request id from a response, or change id or version from the history")
    private String id;

    @Option(
            name = "--log",
            title = "file",
            description = "Log file of host programs, or - for standard input; makes no network calls")
    private String logFile;

    @Override
    int run() {
        if (logFile != null) {
            return explainFromLog();
        }
        PlatformClient platform = platform();
        Optional<AuditEntry> change = findChange(platform);
        if (change.isPresent()) {
            out().println(JsonText.line(change.get()));
            return EXIT_OK;
        }
        out().println(explainRequest(platform));
        return EXIT_OK;
    }

    private int explainFromLog() {
        List<String> timeline;
        try (BufferedReader logReader = logFile.equals("-")
                ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
                : Files.newBufferedReader(Path.of(logFile))) {
            timeline = new RequestTimeline(logReader.lines()).describe(id);
        } catch (IOException e) {
            throw new CarawayliftException(ResultCode.NOT_FOUND, "cannot read log file " + logFile, e);
        }
        if (timeline.isEmpty()) {
            throw new CarawayliftException(ResultCode.NOT_FOUND, "no log line of request '" + id + "' in " + logFile);
        }
        timeline.forEach(out()::println);
        return EXIT_OK;
    }

    private Optional<AuditEntry> findChange(PlatformClient platform) {
        long newestVersion = new TableStore(platform, Clock.systemUTC())
                .read()
                .map(snapshot -> snapshot.accepted().version())
                .orElse(0L);
        return new AuditTrail(platform)
                .newest(newestVersion, MAX_SEARCHED_CHANGES).stream()
                        .filter(entry -> entry.changeId().equals(id)
                                || Long.toString(entry.toVersion()).equals(id))
                        .findFirst();
    }

    /** Queries each listed incarnation of the host whose id is the prefix of the request id. */
    private String explainRequest(PlatformClient platform) {
        for (Member member : FleetView.read(platform).members()) {
            if (id.startsWith(member.process().host() + ".")
                    || id.startsWith(member.process().host() + "-")) {
                Optional<String> found = fetchExplanation(member);
                if (found.isPresent()) {
                    return found.get();
                }
            }
        }
        throw new CarawayliftException(
                ResultCode.NOT_FOUND,
                "no live host has a record of request '" + id + "'; its JSON log may still contain it");
    }

    private static Optional<String> fetchExplanation(Member member, String id) {
        Request request =
                new Request.Builder().url(member.adminUrl() + "/explain/" + id).build();
        try (Response response = new OkHttpClient().newCall(request).execute()) {
            return response.code() == HTTP_OK ? Optional.of(response.body().string()) : Optional.empty();
        } catch (IOException e) {
            throw new CarawayliftException(
                    ResultCode.NETWORK_FAILED, "cannot fetch the explanation from " + member.adminUrl(), e);
        }
    }

    private Optional<String> fetchExplanation(Member member) {
        return fetchExplanation(member, id);
    }
}

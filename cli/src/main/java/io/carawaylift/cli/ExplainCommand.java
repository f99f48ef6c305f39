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

/** Says why a request or a change of the table went the way it did. */
@Command(name = "explain", description = "Explain a request id or a change id")
public final class ExplainCommand extends OperatorCommand {
    private static final int SEARCHED_CHANGES = 5_000;
    private static final int STATUS_OK = 200;

    @Required
    @Arguments(title = "id", description = "Request id from an answer, or change id or version from the history")
    private String id;

    @Option(
            name = "--log",
            title = "file",
            description = "Log lines of host programs, - for standard input; nothing is asked over the network then")
    private String logFile;

    @Override
    int run() {
        if (logFile != null) {
            return tellFromLog();
        }
        PlatformClient platform = platform();
        Optional<AuditEntry> change = change(platform);
        if (change.isPresent()) {
            out().println(JsonText.line(change.get()));
            return OK;
        }
        out().println(request(platform));
        return OK;
    }

    private int tellFromLog() {
        List<String> story;
        try (BufferedReader lines = logFile.equals("-")
                ? new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))
                : Files.newBufferedReader(Path.of(logFile))) {
            story = new RequestStory(lines.lines()).of(id);
        } catch (IOException e) {
            throw new CarawayliftException(ResultCode.NOT_FOUND, "cannot read " + logFile, e);
        }
        if (story.isEmpty()) {
            throw new CarawayliftException(ResultCode.NOT_FOUND, "no line about request '" + id + "' in " + logFile);
        }
        story.forEach(out()::println);
        return OK;
    }

    private Optional<AuditEntry> change(PlatformClient platform) {
        long newest = new TableStore(platform, Clock.systemUTC())
                .read()
                .map(snapshot -> snapshot.accepted().version())
                .orElse(0L);
        return new AuditTrail(platform)
                .newest(newest, SEARCHED_CHANGES).stream()
                        .filter(entry -> entry.changeId().equals(id)
                                || Long.toString(entry.toVersion()).equals(id))
                        .findFirst();
    }

    /** Asks the host whose id the request id starts with, in each of its incarnations that is still listed. */
    private String request(PlatformClient platform) {
        for (Member member : FleetView.read(platform).members()) {
            if (id.startsWith(member.process().host() + ".")
                    || id.startsWith(member.process().host() + "-")) {
                Optional<String> found = ask(member);
                if (found.isPresent()) {
                    return found.get();
                }
            }
        }
        throw new CarawayliftException(
                ResultCode.NOT_FOUND, "no live host remembers request '" + id + "'; its JSON log may still have it");
    }

    private static Optional<String> ask(Member member, String id) {
        Request request =
                new Request.Builder().url(member.adminUrl() + "/explain/" + id).build();
        try (Response response = new OkHttpClient().newCall(request).execute()) {
            return response.code() == STATUS_OK ? Optional.of(response.body().string()) : Optional.empty();
        } catch (IOException e) {
            throw new CarawayliftException(ResultCode.NETWORK_FAILED, "cannot ask " + member.adminUrl(), e);
        }
    }

    private Optional<String> ask(Member member) {
        return ask(member, id);
    }
}

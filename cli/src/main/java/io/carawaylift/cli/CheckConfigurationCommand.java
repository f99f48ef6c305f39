package io.carawaylift.cli;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.carawaylift.platform.store.ConfigurationCheck;
import io.carawaylift.platform.store.ConfigurationFinding;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Checks a configuration of the users' platform before it is sent, without network calls. The exit status is 0 if there
 * are no findings other than changes, 1 if there are, and 2 if a file cannot be read.
 */
@Command(name = "check-configuration", description = "Check a configuration in the platform's form before it is sent")
public final class CheckConfigurationCommand extends OperatorCommand {
    private static final int EXIT_UNREADABLE = 2;
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    @Required
    @Arguments(
            title = "file",
            description = "Configuration as JSON, with or without the object that holds it in the store")
    private String file;

    @Option(name = "--in-force", title = "file", description = "Configuration that it replaces; shows what differs")
    private String inForceFile;

    @Option(name = "--json", description = "Print the findings as JSON on one line")
    private boolean json;

    @Override
    @SuppressWarnings("SystemOut")
    int run() {
        List<ConfigurationFinding> findings;
        try {
            JsonNode configuration = read(file);
            Optional<JsonNode> inForce = inForceFile == null ? Optional.empty() : Optional.of(read(inForceFile));
            findings = ConfigurationCheck.check(configuration, inForce);
        } catch (IOException e) {
            System.err.println("error " + e.getMessage());
            return EXIT_UNREADABLE;
        }
        print(findings);
        boolean faultless = findings.stream().allMatch(each -> each.kind() == ConfigurationFinding.Kind.CHANGE);
        return faultless ? EXIT_OK : EXIT_FAILED;
    }

    private void print(List<ConfigurationFinding> findings) {
        if (json) {
            out().println(JsonText.line(findings));
            return;
        }
        findings.forEach(each -> out().println(
                        each.kind().name().toLowerCase(Locale.ROOT) + ": " + each.subject() + ": " + each.text()));
        if (findings.isEmpty()) {
            out().println(file + ": no findings");
        }
    }

    /** Reads a configuration, also from an object of the store. Messages do not quote the file, which contains keys. */
    private static JsonNode read(String name) throws IOException {
        JsonNode value;
        try {
            value = MAPPER.readTree(Files.readAllBytes(Path.of(name)));
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new IOException(
                    name + " is not JSON, see line " + e.getLocation().getLineNr(), e);
        } catch (IOException e) {
            throw new IOException("cannot read " + name, e);
        }
        JsonNode specification = value.path("specification");
        JsonNode configuration = specification.isObject() ? specification : value;
        if (!configuration.isObject()) {
            throw new IOException(name + " must be a JSON object");
        }
        return configuration;
    }
}

package io.carawaylift.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class CheckConfigurationCommandTest {
    private static final String VALID = """
            {"version":7,"routes":{"columns":["name","host","pathPrefix","kind","timeoutMs","service"],"rows":[
            ["a","h","/a/","safe",2000,"s"]]},"services":{"columns":["name"],"rows":[["s"]]}}""";

    @TempDir
    private Path directory;

    private record Result(int status, String output) {}

    private String file(String name, String content) throws IOException {
        return Files.writeString(directory.resolve(name), content).toString();
    }

    @SuppressWarnings("SystemOut")
    private static Result run(String... args) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream before = System.out;
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        try {
            return new Result(CarawayliftCommand.run(args), output.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(before);
        }
    }

    /** Guards against exit statuses that a script misreads. */
    @Test
    void theExitStatusTellsFindingsFromUnreadableFiles() throws IOException {
        String valid = file("valid.json", VALID);
        String next = file("next.json", VALID.replace(":7", ":8"));
        String unused = file("unused.json", VALID.replace("[\"s\"]", "[\"s\"],[\"t\"]"));

        assertThat(run("check-configuration", valid)).isEqualTo(new Result(0, valid + ": no findings\n"));
        assertThat(run("check-configuration", next, "--in-force", valid))
                .isEqualTo(new Result(0, "change: configuration: version 7 becomes 8\n"));
        assertThat(run("check-configuration", unused))
                .isEqualTo(new Result(1, "no_effect: service t: no route uses it\n"));
        assertThat(run("check-configuration", "--in-force", valid, valid).status())
                .isEqualTo(1);
        assertThat(run("check-configuration", file("broken.json", "{\"version\":"))
                        .status())
                .isEqualTo(2);
        assertThat(run("check-configuration", file("list.json", "[]")).status()).isEqualTo(2);
        assertThat(run("check-configuration", valid, "--in-force", valid + ".missing")
                        .status())
                .isEqualTo(2);
    }

    /** Guards against output that a program cannot read, and against the object of the store as an unknown form. */
    @Test
    void findingsArePrintedAsJson() throws IOException {
        String object = file("object.json", "{\"metadata\":{},\"specification\":" + VALID + "}");
        String unused = file("unused.json", VALID.replace("[\"s\"]", "[\"s\"],[\"t\"]"));

        assertThat(run("check-configuration", "--json", object)).isEqualTo(new Result(0, "[]\n"));
        assertThat(run("check-configuration", "--json", unused))
                .isEqualTo(new Result(
                        1, "[{\"kind\":\"NO_EFFECT\",\"subject\":\"service t\",\"text\":\"no route uses it\"}]\n"));
    }
}

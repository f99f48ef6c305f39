package io.carawaylift.host;

import static com.google.common.truth.Truth.assertThat;

import io.carawaylift.standin.SimulatedStore;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class HangupSignalTest {
    @TempDir
    Path directory;

    /** Guards against a program that terminates on SIGHUP. */
    @Test
    void theProgramKeepsRunningAfterAHangup() throws IOException, InterruptedException {
        try (SimulatedStore store = new SimulatedStore()) {
            Path settings = directory.resolve("host.toml");
            Files.writeString(settings, HostFixture.settings("host-1", 0, store.address(), 0.2, 0.2));
            Path output = directory.resolve("output");
            Process process = new ProcessBuilder(
                            "java",
                            "-Xmx96m",
                            "-cp",
                            System.getProperty("java.class.path"),
                            HostProgram.class.getName(),
                            settings.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(output.toFile())
                    .start();
            try {
                awaitLine(output, "\"started\"");
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor();
                awaitLine(output, "signal.hangup");

                assertThat(process.waitFor(500, TimeUnit.MILLISECONDS)).isFalse();
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static void awaitLine(Path output, String text) {
        HostFixture.await(() -> {
            try {
                return Files.readString(output).contains(text);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }
}

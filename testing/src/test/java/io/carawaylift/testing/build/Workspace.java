package io.carawaylift.testing.build;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.FileVisitResult;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.SimpleFileVisitor;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** A copy of the sources without output of builds and without the repository. Not thread-safe. */
final class Workspace {
    private static final Set<String> NOT_COPIED = Set.of(".git", "target", "journal", "review", "docs");

    /** Earlier than the output of any build. */
    private static final FileTime OLD = FileTime.from(Instant.parse("2020-01-01T00:00:00Z"));

    private static final long COMMAND_TIMEOUT_MINUTES = 5;

    private final Path root;

    private Workspace(Path root) {
        this.root = root;
    }

    /** Copies the sources; the copies are older than the output of any build. */
    static Workspace copyOf(Path source, Path destination) throws IOException {
        Files.walkFileTree(source, new SimpleFileVisitor<>() {
            @Override
            public FileVisitResult preVisitDirectory(Path directory, BasicFileAttributes attributes)
                    throws IOException {
                if (!directory.equals(source)
                        && NOT_COPIED.contains(directory.getFileName().toString())) {
                    return FileVisitResult.SKIP_SUBTREE;
                }
                Files.createDirectories(destination.resolve(source.relativize(directory)));
                return FileVisitResult.CONTINUE;
            }

            @Override
            public FileVisitResult visitFile(Path file, BasicFileAttributes attributes) throws IOException {
                Path copy = Files.copy(file, destination.resolve(source.relativize(file)));
                Files.setLastModifiedTime(copy, OLD);
                return FileVisitResult.CONTINUE;
            }
        });
        return new Workspace(destination);
    }

    Path path(String relative) {
        return root.resolve(relative);
    }

    /** Replaces a text that occurs once in a file, without making the file newer; returns the earlier content. */
    String replace(String file, String text, String replacement) throws IOException {
        String content = Files.readString(path(file));
        assertWithMessage("occurrences in %s of: %s", file, text)
                .that(content.split(Pattern.quote(text), -1))
                .hasLength(2);
        write(file, content.replace(text, replacement));
        return content;
    }

    void write(String file, String content) throws IOException {
        Files.createDirectories(path(file).getParent());
        Files.writeString(path(file), content);
        Files.setLastModifiedTime(path(file), OLD);
    }

    /** Runs a command in the root; returns its exit status, and leaves its output in the file {@code output.log}. */
    int run(String... command) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(List.of(command))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(path("output.log").toFile())
                .start();
        if (!process.waitFor(COMMAND_TIMEOUT_MINUTES, TimeUnit.MINUTES)) {
            process.destroyForcibly();
            throw new IOException("not ended within " + COMMAND_TIMEOUT_MINUTES + " min: " + List.of(command));
        }
        return process.exitValue();
    }

    /** Runs a command that must succeed; returns its output. */
    String runSuccessfully(String... command) throws IOException, InterruptedException {
        int status = run(command);
        String output = Files.readString(path("output.log"));
        assertWithMessage("output of %s: %s", List.of(command), output)
                .that(status)
                .isEqualTo(0);
        return output;
    }

    /** Returns the command with which a host is started, from the file that tells the platform how to run it. */
    List<String> hostCommand() {
        try (var lines = Files.lines(path("deploy/system.toml"))) {
            String run =
                    lines.filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
            return List.of(
                    run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ", -1));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read the command of a host", e);
        }
    }
}

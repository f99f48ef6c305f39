package io.carawaylift.testing.demo;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Starts processes, each with its own log file, and kills all of them on close. Thread-safe. */
public final class Launcher implements AutoCloseable {
    private static final long EXIT_TIMEOUT_SECONDS = 10;

    private final Path directory;
    private final Path workspaceRoot;
    private final Map<String, Process> processes = new ConcurrentHashMap<>();

    /**
     * Creates a launcher.
     *
     * @param directory where log files are written
     * @param workspaceRoot directory of the workspace, with {@code bin} and {@code testing/target}
     */
    public Launcher(Path directory, Path workspaceRoot) {
        this.directory = directory;
        this.workspaceRoot = workspaceRoot;
    }

    /**
     * Returns the workspace from the property {@code carawaylift.root}, or the closest parent of the working directory
     * with {@code bin/demo}.
     */
    public static Path workspace() {
        String property = System.getProperty("carawaylift.root");
        Path path = property == null ? Path.of("").toAbsolutePath() : Path.of(property);
        while (path != null && !path.resolve("bin/demo").toFile().exists()) {
            path = path.getParent();
        }
        if (path == null) {
            throw new IllegalStateException("bin/demo not found in the workspace directory or its parents");
        }
        return path;
    }

    /** Starts a script of {@code bin} under a name that is unique among the running processes. */
    public Process script(String name, String script, String... arguments) {
        List<String> command = new ArrayList<>(
                List.of(workspaceRoot.resolve("bin").resolve(script).toString()));
        command.addAll(List.of(arguments));
        return start(name, command);
    }

    /** Starts a main class of this module. */
    public Process program(String name, Class<?> mainClass, String... arguments) {
        Path target = workspaceRoot.resolve("testing/target");
        List<String> command = new ArrayList<>(List.of(
                "java",
                "-Xmx256m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                target.resolve("lib") + "/*" + File.pathSeparator + target.resolve("classes"),
                mainClass.getName()));
        command.addAll(List.of(arguments));
        return start(name, command);
    }

    /** Starts a command under a name that is unique among the running processes. */
    public Process command(String name, List<String> command) {
        return start(name, command);
    }

    /** Returns the log file of a process; a restarted process appends to it. */
    public Path log(String name) {
        return directory.resolve(name + ".log");
    }

    /** Kills a process with SIGKILL and waits until it has exited. */
    public void kill(String name) {
        Process process = processes.remove(name);
        process.destroyForcibly();
        await(process, EXIT_TIMEOUT_SECONDS);
    }

    /** Sends SIGTERM to a process; returns its exit code, or -1 if it did not exit within the timeout. */
    public int terminate(String name, long seconds) {
        Process process = processes.get(name);
        process.destroy();
        if (!await(process, seconds)) {
            return -1;
        }
        processes.remove(name);
        return process.exitValue();
    }

    /** Sends a signal, for example {@code STOP}, to a running process. */
    public void signal(String name, String signal) {
        String pid = Long.toString(processes.get(name).pid());
        start("signal", List.of("kill", "-" + signal, pid));
        if (await("signal", EXIT_TIMEOUT_SECONDS) != 0) {
            throw new IllegalStateException("cannot send signal " + signal + " to process " + name + " " + pid);
        }
    }

    /** Waits for a process to exit and returns its exit code; kills it and returns -1 after the timeout. */
    public int await(String name, long seconds) {
        Process process = processes.remove(name);
        if (await(process, seconds)) {
            return process.exitValue();
        }
        process.destroyForcibly();
        return -1;
    }

    /** Returns the output of a process without its log lines, which are JSON objects. */
    public String output(String name) {
        try (Stream<String> lines = Files.lines(log(name))) {
            return lines.filter(line -> !line.startsWith("{")).collect(Collectors.joining("; "));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read log file " + log(name), e);
        }
    }

    /** Returns a process that was started and not yet stopped, null if there is none. */
    public Process process(String name) {
        return processes.get(name);
    }

    /** Returns the names of processes that exited without being stopped by this launcher, sorted. */
    public List<String> endedUnexpectedly() {
        return processes.entrySet().stream()
                .filter(entry -> !entry.getValue().isAlive())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Kills all processes with SIGKILL. */
    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(process -> await(process, EXIT_TIMEOUT_SECONDS));
        processes.clear();
    }

    private Process start(String name, List<String> command) {
        try {
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log(name).toFile()))
                    .start();
            processes.put(name, process);
            return process;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start process " + command, e);
        }
    }

    private static boolean await(Process process, long seconds) {
        try {
            return process.waitFor(seconds, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}

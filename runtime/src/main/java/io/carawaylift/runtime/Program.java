package io.carawaylift.runtime;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;

/** Entry point of a program: reads the settings file, starts the service, and stops it gracefully on SIGTERM. */
public final class Program {
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_SETTINGS = 3;
    private static final int EXIT_FAILED = 1;

    private final String name;
    private final Function<Settings, Service> factory;

    /** Creates a program; {@code factory} validates the settings and creates the service without starting it. */
    public Program(String name, Function<Settings, Service> factory) {
        this.name = name;
        this.factory = factory;
    }

    /**
     * Runs until a signal stops the process, which then exits with status 0. Exits with status 2 for invalid arguments,
     * 3 for invalid settings and 1 if the start fails.
     */
    @SuppressWarnings("SystemOut")
    public void run(String[] args) {
        if (args.length != 1) {
            System.err.println("usage: " + name + " SETTINGS.toml");
            System.exit(EXIT_USAGE);
            return;
        }
        Service service = createService(Path.of(args[0]));
        Logger log = System.getLogger(name);
        try {
            service.start();
        } catch (RuntimeException e) {
            log.log(Level.ERROR, "start failed", e);
            System.exit(EXIT_FAILED);
            return;
        }
        log.log(Level.INFO, "started");
        stopOnSignal(service, log);
    }

    private Service createService(Path path) {
        try {
            return factory.apply(Settings.read(path));
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_SETTINGS);
            throw e;
        }
    }

    private static void stopOnSignal(Service service, Logger log) {
        CountDownLatch stopped = new CountDownLatch(1);
        Thread hook = new Thread(
                () -> {
                    log.log(Level.INFO, "stopping");
                    try {
                        service.stop();
                        log.log(Level.INFO, "stopped");
                    } catch (RuntimeException e) {
                        log.log(Level.ERROR, "the stop failed", e);
                    } finally {
                        // Otherwise the exit status would be that of the signal, which looks like a failure.
                        Runtime.getRuntime().halt(0);
                    }
                },
                "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
        // The latch is never released: the shutdown hook ends the process.
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package io.carawaylift.host;

import io.carawaylift.runtime.Settings;
import io.carawaylift.runtime.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** The settings file, which may change while the program runs, with or without a signal. Used by one thread at a time. */
final class SettingsFile {
    private final Path path;
    private final EventLog log;
    private String text;

    /** Creates a file that was read with {@code text}. */
    SettingsFile(Path path, String text, EventLog log) {
        this.path = path;
        this.text = text;
        this.log = log;
    }

    /** Returns the options if the file has changed and is valid; an invalid one is logged once and the last one stays. */
    Optional<HostOptions> changed() {
        String now;
        try {
            now = Files.readString(path);
        } catch (IOException e) {
            log.event("settings.unreadable", line -> line.put("reason", String.valueOf(e)));
            return Optional.empty();
        }
        if (now.equals(text)) {
            return Optional.empty();
        }
        text = now;
        try {
            return Optional.of(HostOptions.of(Settings.parse(path.toString(), now)));
        } catch (SettingsException e) {
            log.event("settings.refused", line -> line.put("reason", String.valueOf(e.getMessage())));
            return Optional.empty();
        }
    }
}

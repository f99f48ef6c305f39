package io.carawaylift.host;

import io.carawaylift.runtime.Settings;
import io.carawaylift.runtime.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Reads the settings file, which may change while the program runs, with or without a signal. Used by one thread at a
 * time.
 */
final class SettingsFile {
    private final Path path;
    private final EventLog log;
    private String text;

    /** Creates an instance for a file whose current content is {@code text}. */
    SettingsFile(Path path, String text, EventLog log) {
        this.path = path;
        this.text = text;
        this.log = log;
    }

    /**
     * Returns the options if the file has changed and is valid. An invalid file is logged once and the previous options
     * stay.
     */
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

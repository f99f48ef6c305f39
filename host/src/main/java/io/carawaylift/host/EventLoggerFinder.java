package io.carawaylift.host;

import java.text.MessageFormat;
import java.util.ResourceBundle;

/**
 * Passes log records of libraries and other modules to the program's event log. Records before {@code setTarget} go to
 * standard error.
 */
public final class EventLoggerFinder extends System.LoggerFinder {
    private static volatile EventLog target;

    /** Called by the Java runtime. */
    public EventLoggerFinder() {}

    static void setTarget(EventLog log) {
        target = log;
    }

    @Override
    public System.Logger getLogger(String name, Module module) {
        return new Logger(name);
    }

    private record Logger(String name) implements System.Logger {
        @Override
        public String getName() {
            return name;
        }

        @Override
        public boolean isLoggable(Level level) {
            return level.getSeverity() >= Level.INFO.getSeverity();
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String message, Throwable thrown) {
            if (isLoggable(level)) {
                write(level, message + ": " + thrown);
            }
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String format, Object... values) {
            if (isLoggable(level)) {
                write(level, values == null || values.length == 0 ? format : MessageFormat.format(format, values));
            }
        }

        @SuppressWarnings("SystemOut")
        private void write(Level level, String message) {
            EventLog log = target;
            if (log == null) {
                System.err.println(level + " " + name + " " + message);
            } else {
                log.event(
                        "log",
                        line -> line.put("level", level.getName())
                                .put("logger", name)
                                .put("message", message));
            }
        }
    }
}

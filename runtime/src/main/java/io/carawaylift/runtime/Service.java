package io.carawaylift.runtime;

/** Something with threads or sockets that is started once and stopped once. */
public interface Service {
    /** Starts the service; returns when it is ready. */
    void start();

    /** Stops the service gracefully; returns when it has ended. Does nothing if it was not started. */
    void stop();
}

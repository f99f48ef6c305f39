package io.carawaylift.runtime;

/** Component with threads or sockets that is started once and stopped once. */
public interface Service {
    /** Starts the service; returns when it is ready. */
    void start();

    /** Stops the service gracefully; returns when it has stopped. Does nothing if it was not started. */
    void stop();
}

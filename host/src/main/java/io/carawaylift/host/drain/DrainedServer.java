package io.carawaylift.host.drain;

/** A server whose requests are completed before it ends. Called on its event loop only. */
public interface DrainedServer {
    /** Stops accepting connections and closes those without a request in progress. */
    void stopAccepting();

    /** Answers all requests in progress now, truthfully: as not run, or with an unknown outcome. */
    void answerAll();

    /** Returns whether a request is in progress or its response is not yet written. */
    boolean isBusy();
}

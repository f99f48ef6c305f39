package io.carawaylift.host;

import io.carawaylift.decisions.currency.Confirmation;

/** Whether this host reads one kind from the store or relies on another host that does. Used on the event loop only. */
final class KindSource {
    private final String kind;
    private final StoreRelay relay;
    private final KindListener listener;
    private final EventLog log;
    private final Confirmation confirmation;
    private boolean host;

    KindSource(String kind, StoreRelay relay, KindListener listener, EventLog log) {
        this.kind = kind;
        this.relay = relay;
        this.listener = listener;
        this.log = log;
        this.confirmation = new Confirmation(relay.times().confirmationLifetime());
    }

    /** Returns what other hosts confirmed. */
    Confirmation confirmation() {
        return confirmation;
    }

    /** Returns whether another host reads the kind for this one. */
    boolean isHost() {
        return host;
    }

    /**
     * Decides who reads the kind next.
     *
     * @param revision known revision of the store, for the log
     * @return the nanoseconds for which the host relies on another one, 0 if it reads the store now
     */
    long decide(long revision) {
        long remainingNanos = confirmation.remainingNanos(System.nanoTime());
        boolean confirmed = remainingNanos > 0 && !relay.isRelay() && !listener.isOwnProofDue();
        if (host != confirmed) {
            host = confirmed;
            log.event(
                    "store.source",
                    line -> line.put("kind", kind)
                            .put("source", confirmed ? "host" : "store")
                            .put("revision", revision));
        }
        return confirmed ? remainingNanos : 0;
    }
}

package io.carawaylift.host;

import io.carawaylift.decisions.currency.CallChain;
import io.carawaylift.platform.store.StoreKinds;
import java.time.Duration;

/** How long the watches of one kind and the pauses between them last. Used on the event loop only. */
final class KindWaits {
    /** Wait of a watch that only brings what a list lacked, or shows whether the store responds again. */
    static final Duration IMMEDIATE_WATCH = Duration.ofMillis(1);

    /**
     * Wait of a watch of the other hosts, once they found each other. Long, because each watch costs a call, and hosts
     * that are not listed yet report to those that are.
     */
    private static final Duration HOSTS_WATCH = Duration.ofSeconds(20);

    /** The same before that, and for a host that may soon follow another one. */
    private static final Duration HOSTS_DISCOVERY_WATCH = Duration.ofSeconds(3);

    /** Pause before the next watch after a change, so that changes close together cost one call. */
    private static final Duration COALESCE = Duration.ofMillis(300);

    /** The same for the other hosts, all of which register when a fleet starts; nothing waits for their entries. */
    private static final Duration COALESCE_HOSTS = Duration.ofMillis(1500);

    /** Time after the start in which the hosts of a region find each other. */
    private static final Duration DISCOVERY = Duration.ofSeconds(8);

    private final boolean ofHosts;
    private final StoreRelay relay;
    private final long createdNanos = System.nanoTime();

    KindWaits(String kind, StoreRelay relay) {
        this.ofHosts = kind.equals(StoreKinds.HOSTS);
        this.relay = relay;
    }

    /** Returns the wait of a watch that is sent now. */
    Duration watch(CallChain chain, long now) {
        boolean confirming = relay.isRelay() && relay.hasOtherHosts();
        if (confirming && !chain.isCurrent(now)) {
            // The others of the region watch for themselves until this host holds the kind current.
            return IMMEDIATE_WATCH;
        }
        if (ofHosts) {
            boolean starting = now - createdNanos < DISCOVERY.toNanos();
            return starting || relay.isFollower() ? HOSTS_DISCOVERY_WATCH : HOSTS_WATCH;
        }
        return confirming ? relay.watchWait(chain, now) : relay.times().watchWait();
    }

    /** Returns the pause before the next watch after a change. */
    Duration afterChange() {
        return ofHosts ? COALESCE_HOSTS : COALESCE;
    }
}

package io.carawaylift.control;

import io.carawaylift.decisions.membership.RegionMembers;
import io.carawaylift.decisions.ownership.LeaseDurations;
import io.carawaylift.decisions.ownership.TakeoverPolicy;
import io.carawaylift.peer.Message;
import io.carawaylift.peer.PeerNetwork;
import io.carawaylift.platform.CallCounts;
import io.carawaylift.platform.HttpPlatformClient;
import io.carawaylift.platform.RetryPolicy;
import io.carawaylift.runtime.AdminServer;
import io.carawaylift.runtime.HostSettings;
import io.carawaylift.runtime.Service;
import io.carawaylift.runtime.Settings;
import java.time.Duration;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;

/** Runs the control program of one host. Created by {@link #builder}. */
public final class ControlService implements Service {
    /** Spreads the first reads of hosts that start together, and lets peers deliver records first. */
    private static final int INITIAL_READ_SPREAD_MILLIS = 500;

    private static final int DIGEST_INTERVAL_HEARTBEATS = 2;

    private final ControlSettings settings;
    private final LeaseDurations durations;
    private final LongFunction<BooleanSupplier> processLiveness;
    private final SplittableRandom random;
    private final AdminServer admin;
    private DecisionLoop loop;
    private PeerNetwork network;
    private HttpPlatformClient platform;
    private ControlState state;
    private StatusPage status;

    private ControlService(Builder builder) {
        this.settings = ControlSettings.of(Objects.requireNonNull(builder.settings, "settings"));
        this.durations = builder.durations;
        this.processLiveness = builder.processLiveness;
        this.random = new SplittableRandom(settings.host().id().hashCode() ^ System.nanoTime());
        this.admin = new AdminServer(
                settings.host().address(), settings.adminPort(), routes -> StatusPage.addTo(routes, () -> status));
    }

    /** Returns a builder; the settings must be set. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public void start() {
        HostSettings host = settings.host();
        loop = new DecisionLoop(host.id());
        network = PeerNetwork.builder().seed(random.nextLong()).build();
        platform = HttpPlatformClient.builder().baseUrl(settings.platformUrl()).build();
        state = createState(host);
        ControlComponents components = new ControlComponents(state, random, processLiveness);
        CallCounts calls = platform.callCounts();
        status = new StatusPage(state, components.reporter(), components.takeoverRunner(), calls, network.byteCounts());
        ControlMetrics metrics = new ControlMetrics(admin.metrics(), calls, network.byteCounts());
        components.addListeners(metrics);
        network.listen(host.address(), settings.port(), hello(host), components.inbound());
        admin.start();
        loop.execute(() -> startTasks(components));
    }

    @Override
    public void stop() {
        if (loop != null) {
            loop.stop();
            network.close();
            platform.close();
            admin.stop();
        }
    }

    /** Returns the source of the page {@code /status}; visible for tests. */
    StatusPage status() {
        return status;
    }

    private ControlState createState(HostSettings host) {
        Records records = new Records(host.region());
        RecordReader reader = new RecordReader(platform, records, loop);
        return new ControlState(
                host,
                durations,
                loop,
                platform,
                records,
                reader,
                new EndpointListVerifier(records, reader, loop),
                new RegionMembers(host.failureDomain(), host.region(), durations),
                new TakeoverPolicy(host.id(), durations, loop.nowNanos()),
                new Peers(network, hello(host), records, loop, random.split()),
                new LocalPrograms(records));
    }

    /**
     * Returns a check that is false after the process terminated, even if its id was reused: the handle includes the
     * start time.
     */
    private static BooleanSupplier isAlive(long processId) {
        return ProcessHandle.of(processId)
                .<BooleanSupplier>map(handle -> handle::isAlive)
                .orElse(() -> false);
    }

    private void startTasks(ControlComponents components) {
        Duration heartbeatInterval = Duration.ofNanos(durations.heartbeatIntervalNanos());
        state.peers().connect(settings.seeds());
        loop.every(heartbeatInterval, randomPhase(heartbeatInterval), components::tick);
        Duration digestInterval = heartbeatInterval.multipliedBy(DIGEST_INTERVAL_HEARTBEATS);
        loop.every(digestInterval, randomPhase(digestInterval), () -> components.exchangeDigests(settings.seeds()));
        RetryPolicy retry = RetryPolicy.builder()
                .maxFirstDelay(Duration.ofMillis(INITIAL_READ_SPREAD_MILLIS))
                .seed(random.nextLong())
                .build();
        new InitialRead(state.reader(), loop, retry, state.records()::markSynchronized)
                .start(Duration.ofMillis(random.nextInt(INITIAL_READ_SPREAD_MILLIS)));
    }

    /** Returns a random first delay, so that programs that start together do not run their tasks at the same time. */
    private Duration randomPhase(Duration period) {
        return Duration.ofNanos(random.nextLong(period.toNanos()));
    }

    private Message.Hello hello(HostSettings host) {
        String address = host.address() + ":" + settings.port();
        long processId = ProcessHandle.current().pid();
        return new Message.Hello(
                InboundConnections.CONTROL_PROGRAM,
                host.id(),
                host.region(),
                host.failureDomain(),
                address,
                null,
                processId);
    }

    /** Builds a {@link ControlService}. */
    public static final class Builder {
        private Settings settings;
        private LeaseDurations durations = LeaseDurations.DEFAULT;
        private LongFunction<BooleanSupplier> processLiveness = ControlService::isAlive;

        private Builder() {}

        /** Sets the settings of the host; {@link #build} validates them. */
        public Builder settings(Settings newSettings) {
            this.settings = newSettings;
            return this;
        }

        /** Sets the durations of the lease protocol; they must be the same in all programs. */
        public Builder durations(LeaseDurations newDurations) {
            this.durations = Objects.requireNonNull(newDurations, "durations");
            return this;
        }

        /**
         * Sets the function that returns, for the process that currently has an id, a check whether it is still alive.
         */
        public Builder processLiveness(LongFunction<BooleanSupplier> newProcessLiveness) {
            this.processLiveness = Objects.requireNonNull(newProcessLiveness, "processLiveness");
            return this;
        }

        /**
         * Returns a service that has not been started.
         *
         * @throws io.carawaylift.runtime.SettingsException if a setting is invalid
         */
        public ControlService build() {
            return new ControlService(this);
        }
    }
}

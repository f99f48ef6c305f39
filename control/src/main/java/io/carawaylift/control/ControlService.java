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

/** The control program of one host as a service. Built by {@link #builder}. */
public final class ControlService implements Service {
    /** Covers a whole fleet that starts together, and leaves peers time to deliver records first. */
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

    /** Returns what {@code /status} shows; for tests. */
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

    /** A handle also knows the start time, so a later process with the same id does not count. */
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

    /** Programs that start together must not work in step. */
    private Duration randomPhase(Duration period) {
        return Duration.ofNanos(random.nextLong(period.toNanos()));
    }

    private Message.Hello hello(HostSettings host) {
        String address = host.address() + ":" + settings.port();
        long processId = ProcessHandle.current().pid();
        return new Message.Hello(
                InboundConnections.CONTROL_PROGRAM, host.id(), host.region(), host.failureDomain(), address, null, processId);
    }

    /** Collects what a control program needs. */
    public static final class Builder {
        private Settings settings;
        private LeaseDurations durations = LeaseDurations.DEFAULT;
        private LongFunction<BooleanSupplier> processLiveness = ControlService::isAlive;

        private Builder() {}

        /** Sets the settings of the host; they are checked by {@link #build}. */
        public Builder settings(Settings newSettings) {
            this.settings = newSettings;
            return this;
        }

        /** Sets other durations of the lease protocol; all programs must have the same. */
        public Builder durations(LeaseDurations newDurations) {
            this.durations = Objects.requireNonNull(newDurations, "durations");
            return this;
        }

        /** Sets what tells whether the process that has an id now still runs. */
        public Builder processLiveness(LongFunction<BooleanSupplier> newProcessLiveness) {
            this.processLiveness = Objects.requireNonNull(newProcessLiveness, "processLiveness");
            return this;
        }

        /**
         * Returns the service; nothing is started yet.
         *
         * @throws io.carawaylift.runtime.SettingsException if a setting is wrong
         */
        public ControlService build() {
            return new ControlService(this);
        }
    }
}

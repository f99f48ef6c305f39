package io.carawaylift.testing.demo;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.carawaylift.model.Outcome;
import io.carawaylift.model.Rank;
import io.carawaylift.testing.caller.CallResult;
import io.carawaylift.testing.caller.Caller;
import io.carawaylift.testing.caller.Load;
import io.carawaylift.testing.caller.LoadPart;
import io.carawaylift.testing.caller.PartReport;
import io.carawaylift.testing.demo.EntryHost.Program;
import io.carawaylift.testing.demo.SitePlan.Domain;
import io.carawaylift.testing.demo.SitePlan.ServicePlan;
import io.carawaylift.testing.proxy.FaultProxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

/**
 * Three hosts of real processes with the proxy between entry programs and endpoints. Guards, under each fault, that
 * once-only work runs at most once, that refused work did not run, that answers are right, and that slots are kept.
 */
final class RealProcessesIT {
    private static final long READY_SECONDS = 90;
    private static final ServicePlan CALENDAR = new ServicePlan("calendar", Rank.STANDARD, 2, 3, 60, 4_000, 60);
    private static final ServicePlan BOOKING = new ServicePlan("booking", Rank.URGENT, 2, 3, 60, 2_000, 150);
    private static final SitePlan PLAN = new SitePlan(
            "small",
            List.of(new Domain("r-a", "r"), new Domain("r-b", "r")),
            List.of(CALENDAR, BOOKING),
            3,
            0,
            Map.of(),
            List.of("c1", "c2"));

    /** Longer than lease and margin, so that a successor may take over. */
    private static final long LONGER_THAN_LEASE_MS = 8_500;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    static Path directory;

    private static final Map<String, FaultProxy> PROXIES = new ConcurrentHashMap<>();
    private static Fleet fleet;
    private static Caller caller;
    private static int loadNumber;

    @BeforeAll
    static void start() {
        fleet = new Fleet(PLAN, directory, RealProcessesIT::proxied);
        fleet.start(READY_SECONDS);
        caller = new Caller(
                fleet.hosts().stream().map(EntryHost::lookupUrl).toList(),
                List.of("10.1.0.1", "10.2.0.1", "10.1.0.2", "10.2.0.2"));
    }

    @AfterAll
    static void stop() {
        fleet.close();
        PROXIES.values().forEach(FaultProxy::stop);
    }

    @BeforeEach
    void awaitWholeSite() {
        assertWithMessage("site is whole")
                .that(Await.until(READY_SECONDS, fleet::ready))
                .isAtLeast(0);
        fleet.upstreams().reset();
    }

    @Test
    void killedEntryProcess() {
        RunningLoad running = load(4);
        Await.sleep(1_000);
        fleet.hosts().get(2).kill(Program.ENTRY);
        Await.sleep(1_000);
        fleet.hosts().get(2).start(Program.ENTRY);
        assertClean(running);
    }

    @Test
    void entryProcessPausedForLongerThanItsLease() {
        String name = fleet.hosts().get(1).processName(Program.ENTRY);
        RunningLoad running = load(LONGER_THAN_LEASE_MS / 1000.0 + 3);
        Await.sleep(500);
        fleet.launcher().signal(name, "STOP");
        Await.sleep(LONGER_THAN_LEASE_MS);
        fleet.launcher().signal(name, "CONT");
        assertClean(running);
    }

    @Test
    void answerDroppedAfterTheRunIsUnknownAndRunsOnce() {
        fleet.upstreams().faults("upstream=booking-r-a&dropAnswers=1");
        fleet.upstreams().faults("upstream=booking-r-b&dropAnswers=1");
        int unknown = 0;
        for (int number = 0; number < 8; number++) {
            CallResult result = caller.call(once(), "dropped-" + number, number);
            unknown += result.outcome() == Outcome.UNKNOWN ? 1 : 0;
            assertThat(fleet.upstreams().runs("once")).containsEntry(result.path(), 1);
        }
        assertThat(unknown).isAtLeast(1);
    }

    @Test
    @Tag("known-red")
    void silentConnectionsToEndpointsWhileNewOnesWork() {
        load(1).join();
        PROXIES.values().forEach(FaultProxy::mute);
        RunningLoad running = load(3);
        for (PartReport report : assertClean(running)) {
            assertWithMessage(report.toString()).that(report.answered()).isEqualTo(report.offered());
        }
    }

    @Test
    void platformWithoutAnswersForLongerThanALease() {
        fleet.platform().faults("mode=silent");
        RunningLoad running = load(LONGER_THAN_LEASE_MS / 1000.0 + 1);
        Await.sleep(LONGER_THAN_LEASE_MS);
        fleet.platform().faults("mode=up");
        for (PartReport report : assertClean(running)) {
            assertWithMessage(report.toString()).that(report.answered()).isEqualTo(report.offered());
        }
    }

    @Test
    void lostAnswerOfATableWriteIsSettledByReadingBack() {
        long before = fleet.platform().table().version();
        fleet.platform().faults("losePrefix=table&loseAnswers=1");
        command("drain");
        assertThat(fleet.platform().table().version()).isEqualTo(before + 1);
        assertThat(fleet.platform().calls().get("lost")).isEqualTo(1);
        command("undrain");
        assertThat(fleet.platform().table().version()).isEqualTo(before + 2);
    }

    /** Runs an operators' command on the first calendar upstream and waits until the change is in force. */
    private static void command(String verb) {
        String url = fleet.platform().url();
        fleet.launcher()
                .script(verb, "carawaylift", verb, "--platform", url, "calendar-r-a", "--wait", "--timeout", "60");
        int exit = fleet.launcher().await(verb, 90);
        assertWithMessage(fleet.launcher().output(verb)).that(exit).isEqualTo(0);
    }

    /** Ends the load and judges every call of it. */
    private static List<PartReport> assertClean(RunningLoad running) {
        List<PartReport> reports = running.join();
        Await.sleep(1_000);
        Verdict verdict = Verdict.of(running.load(), fleet.upstreams());
        assertWithMessage(verdict.toString()).that(verdict.isClean()).isTrue();
        for (PartReport report : reports) {
            assertWithMessage(report.toString()).that(report.answered()).isGreaterThan(0);
            assertWithMessage(report.toString())
                    .that(report.wrong() + report.shortAnswers())
                    .isEqualTo(0);
        }
        return reports;
    }

    private static RunningLoad load(double seconds) {
        loadNumber++;
        LoadPart refresh = new LoadPart(
                "refresh", "calendar", "GET", "/calendar", 200, Rank.STANDARD, 20, 4_000, PLAN.customers());
        return new RunningLoad(new Load(caller, "it" + loadNumber, List.of(refresh, once()), loadNumber, 100), seconds);
    }

    private static LoadPart once() {
        return new LoadPart("book", "booking", "POST", "/booking", 200, Rank.URGENT, 10, 2_000, PLAN.customers());
    }

    /** Puts a proxy in front of an endpoint. */
    private static String proxied(String url) {
        FaultProxy proxy = PROXIES.computeIfAbsent(url, target -> {
            InetSocketAddress address = new InetSocketAddress(
                    InetAddress.getLoopbackAddress(), URI.create(target).getPort());
            FaultProxy created = new FaultProxy("127.0.0.1", 0, address);
            created.start();
            return created;
        });
        return "http://127.0.0.1:" + proxy.port();
    }
}

package io.carawaylift.testing.demo;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.carawaylift.model.Outcome;
import io.carawaylift.model.Rank;
import io.carawaylift.testing.caller.CallResult;
import io.carawaylift.testing.caller.Caller;
import io.carawaylift.testing.caller.LoadPart;
import io.carawaylift.testing.caller.OpenLoopLoad;
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
 * Runs three hosts of real processes with a proxy between entry programs and endpoints. Checks under each fault that
 * at-most-once work runs at most once, rejected work did not run, responses are correct, and slot limits hold.
 */
final class RealProcessesIT {
    private static final long READY_TIMEOUT_SECONDS = 90;
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

    /** Longer than the lease and its margin, so that a successor may take over. */
    private static final long LONGER_THAN_LEASE_MILLIS = 8_500;

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    static Path directory;

    private static final Map<String, FaultProxy> PROXIES = new ConcurrentHashMap<>();
    private static RunningSite site;
    private static Caller caller;
    private static int loadNumber;

    @BeforeAll
    static void start() {
        site = new RunningSite(PLAN, directory, RealProcessesIT::proxyUrl);
        site.start(READY_TIMEOUT_SECONDS);
        caller = new Caller(
                site.hosts().stream().map(EntryHost::lookupUrl).toList(),
                List.of("10.1.0.1", "10.2.0.1", "10.1.0.2", "10.2.0.2"));
    }

    @AfterAll
    static void stop() {
        site.close();
        PROXIES.values().forEach(FaultProxy::stop);
    }

    @BeforeEach
    void awaitReadySite() {
        assertWithMessage("site is ready (-1: not within the timeout)")
                .that(Await.until(READY_TIMEOUT_SECONDS, site::ready))
                .isAtLeast(0);
        site.upstreams().reset();
    }

    @Test
    void entryProcessIsKilledAndRestarted() {
        RunningLoad running = startLoad(4);
        Await.sleep(1_000);
        site.hosts().get(2).kill(Program.ENTRY);
        Await.sleep(1_000);
        site.hosts().get(2).start(Program.ENTRY);
        assertNoViolations(running);
    }

    @Test
    void entryProcessPausedForLongerThanItsLease() {
        String name = site.hosts().get(1).processName(Program.ENTRY);
        RunningLoad running = startLoad(LONGER_THAN_LEASE_MILLIS / 1000.0 + 3);
        Await.sleep(500);
        site.launcher().signal(name, "STOP");
        Await.sleep(LONGER_THAN_LEASE_MILLIS);
        site.launcher().signal(name, "CONT");
        assertNoViolations(running);
    }

    @Test
    void responseDroppedAfterTheRunIsUnknownAndRunsOnce() {
        site.upstreams().setFaults("upstream=booking-r-a&dropAnswers=1");
        site.upstreams().setFaults("upstream=booking-r-b&dropAnswers=1");
        int unknown = 0;
        for (int number = 0; number < 8; number++) {
            CallResult result = caller.call(atMostOncePart(), "dropped-" + number, number);
            unknown += result.outcome() == Outcome.UNKNOWN ? 1 : 0;
            assertThat(site.upstreams().runs("once")).containsEntry(result.path(), 1);
        }
        assertThat(unknown).isAtLeast(1);
    }

    @Test
    @Tag("known-red")
    void silentConnectionsToEndpointsWhileNewOnesWork() {
        startLoad(1).join();
        PROXIES.values().forEach(FaultProxy::mute);
        RunningLoad running = startLoad(3);
        for (PartReport report : assertNoViolations(running)) {
            assertWithMessage(report.toString()).that(report.answered()).isEqualTo(report.offered());
        }
    }

    @Test
    void platformUnresponsiveForLongerThanALease() {
        site.platform().setFaults("mode=silent");
        RunningLoad running = startLoad(LONGER_THAN_LEASE_MILLIS / 1000.0 + 1);
        Await.sleep(LONGER_THAN_LEASE_MILLIS);
        site.platform().setFaults("mode=up");
        for (PartReport report : assertNoViolations(running)) {
            assertWithMessage(report.toString()).that(report.answered()).isEqualTo(report.offered());
        }
    }

    @Test
    void lostResponseOfATableWriteIsResolvedByReadingBack() {
        long before = site.platform().table().version();
        site.platform().setFaults("losePrefix=table&loseAnswers=1");
        runCommand("drain");
        assertThat(site.platform().table().version()).isEqualTo(before + 1);
        assertThat(site.platform().calls().get("lost")).isEqualTo(1);
        runCommand("undrain");
        assertThat(site.platform().table().version()).isEqualTo(before + 2);
    }

    /** Runs an operators' command on the first calendar upstream and waits until the change is in force. */
    private static void runCommand(String verb) {
        String url = site.platform().url();
        site.launcher()
                .script(verb, "carawaylift", verb, "--platform", url, "calendar-r-a", "--wait", "--timeout", "60");
        int exit = site.launcher().await(verb, 90);
        assertWithMessage(site.launcher().output(verb)).that(exit).isEqualTo(0);
    }

    /** Waits for the end of the load and checks its calls for violated guarantees. */
    private static List<PartReport> assertNoViolations(RunningLoad running) {
        List<PartReport> reports = running.join();
        Await.sleep(1_000);
        Verdict verdict = Verdict.of(running.load(), site.upstreams());
        assertWithMessage(verdict.toString()).that(verdict.isClean()).isTrue();
        for (PartReport report : reports) {
            assertWithMessage(report.toString()).that(report.answered()).isGreaterThan(0);
            assertWithMessage(report.toString())
                    .that(report.wrong() + report.shortAnswers())
                    .isEqualTo(0);
        }
        return reports;
    }

    private static RunningLoad startLoad(double seconds) {
        loadNumber++;
        LoadPart refresh = new LoadPart(
                "refresh", "calendar", "GET", "/calendar", 200, Rank.STANDARD, 20, 4_000, PLAN.customers());
        return new RunningLoad(
                new OpenLoopLoad(caller, "it" + loadNumber, List.of(refresh, atMostOncePart()), loadNumber, 100),
                seconds);
    }

    private static LoadPart atMostOncePart() {
        return new LoadPart("book", "booking", "POST", "/booking", 200, Rank.URGENT, 10, 2_000, PLAN.customers());
    }

    /** Starts a proxy in front of an endpoint and returns its URL. */
    private static String proxyUrl(String url) {
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

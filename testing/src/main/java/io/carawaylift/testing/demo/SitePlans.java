package io.carawaylift.testing.demo;

import io.carawaylift.model.Rank;
import io.carawaylift.testing.demo.SitePlan.Domain;
import io.carawaylift.testing.demo.SitePlan.ServicePlan;
import java.util.List;
import java.util.Map;

/**
 * Plans of the two existing sites. The service times are not those of the sites: they are long enough that one machine
 * can generate a load of several times the capacity.
 */
public final class SitePlans {
    private static final int HOSTS = 8;
    private static final long CALENDAR_MILLIS = 240;
    private static final long BOOKING_MILLIS = 200;
    private static final long FILE_MILLIS = 250;
    private static final long SHORT_DEADLINE_MILLIS = 3_000;
    private static final long LONG_DEADLINE_MILLIS = 5_000;

    private SitePlans() {}

    /** Returns the plan of Inzira, which gives priority to urgent work: the floors of the other ranks are low. */
    public static SitePlan inzira() {
        return new SitePlan(
                "inzira",
                domains("kigali", "musanze", "huye"),
                List.of(
                        new ServicePlan("calendar", Rank.STANDARD, 16, 5, 360, SHORT_DEADLINE_MILLIS, CALENDAR_MILLIS),
                        new ServicePlan("booking", Rank.URGENT, 12, 4, 360, SHORT_DEADLINE_MILLIS, BOOKING_MILLIS),
                        new ServicePlan("gallery", Rank.STANDARD, 12, 3, 360, LONG_DEADLINE_MILLIS, FILE_MILLIS)),
                HOSTS,
                4_000,
                Map.of(Rank.STANDARD, 10, Rank.DEFERRABLE, 5),
                List.of("akagera", "nyungwe", "kivu", "muhazi"));
    }

    /** Returns the plan of Tideline, which protects the other ranks: their floors are high. */
    public static SitePlan tideline() {
        return new SitePlan(
                "tideline",
                domains("seq", "nq", "cq"),
                List.of(
                        new ServicePlan("calendar", Rank.STANDARD, 14, 7, 330, SHORT_DEADLINE_MILLIS, CALENDAR_MILLIS),
                        new ServicePlan("hold", Rank.URGENT, 12, 5, 330, SHORT_DEADLINE_MILLIS, BOOKING_MILLIS),
                        new ServicePlan("file", Rank.STANDARD, 12, 3, 330, LONG_DEADLINE_MILLIS, FILE_MILLIS)),
                HOSTS,
                280,
                Map.of(Rank.STANDARD, 30, Rank.DEFERRABLE, 15),
                List.of("coral", "banyan", "mangrove", "currumbin", "noosa"));
    }

    /** Lists one failure domain of every region first, so that hosts and endpoints are spread evenly over the regions. */
    private static List<Domain> domains(String first, String second, String third) {
        return List.of(
                new Domain(first + "-a", first),
                new Domain(second + "-a", second),
                new Domain(third + "-a", third),
                new Domain(first + "-b", first),
                new Domain(second + "-b", second),
                new Domain(third + "-b", third));
    }
}

package io.carawaylift.testing.demo;

import io.carawaylift.model.Rank;
import io.carawaylift.testing.demo.SitePlan.Domain;
import io.carawaylift.testing.demo.SitePlan.ServicePlan;
import java.util.List;
import java.util.Map;

/**
 * The sizes of today's two sites. The service times are not from the sites: they are chosen so that several times the
 * capacity is a rate that one machine can offer.
 */
public final class SitePlans {
    private static final int HOSTS = 8;
    private static final long CALENDAR_MILLIS = 240;
    private static final long BOOKING_MILLIS = 200;
    private static final long FILE_MILLIS = 250;
    private static final long SHORT_DEADLINE_MILLIS = 3_000;
    private static final long LONG_DEADLINE_MILLIS = 5_000;

    private SitePlans() {}

    /** Returns the sizes of Inzira: urgent work counts most, so the other floors are low. */
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

    /** Returns the sizes of Tideline: what the other work keeps counts most, so its floors are high. */
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

    /** One failure domain of every region first, so that hosts and endpoints are dealt out to all regions alike. */
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

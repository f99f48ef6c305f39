package io.carawaylift.testing.demo;

import io.carawaylift.model.Rank;
import io.carawaylift.testing.caller.LoadPart;
import io.carawaylift.testing.demo.SitePlan.ServicePlan;
import java.util.ArrayList;
import java.util.List;

/** Creates loads for a site in proportion to the capacity of its services. */
public final class SiteLoads {
    private static final int SMALL_BYTES = 400;
    private static final int DOWNLOAD_BYTES = 400_000;

    /** Short, so that rejected calls end soon and the callers can sustain the arrival rate of the flood. */
    private static final long FLOOD_DEADLINE_MILLIS = 1_000;

    private final SitePlan plan;

    /** Creates loads; the site's services must be, in this order, idempotent reads, at-most-once work, and files. */
    public SiteLoads(SitePlan plan) {
        this.plan = plan;
    }

    /** Returns the mixed load at a fraction of each service's capacity. */
    public List<LoadPart> mixed(double fraction) {
        ServicePlan refreshService = plan.services().get(0);
        ServicePlan atMostOnceService = plan.services().get(1);
        ServicePlan fileService = plan.services().get(2);
        return List.of(
                part("refresh", refreshService, "GET", Rank.STANDARD, refreshService.capacity() * fraction * 0.8),
                part("prefetch", refreshService, "GET", Rank.DEFERRABLE, refreshService.capacity() * fraction * 0.2),
                part("confirm", atMostOnceService, "POST", Rank.URGENT, atMostOnceService.capacity() * fraction * 0.7),
                part(
                        "overnight",
                        atMostOnceService,
                        "POST",
                        Rank.DEFERRABLE,
                        atMostOnceService.capacity() * fraction * 0.3),
                part("deposit", fileService, "POST", Rank.URGENT, fileService.capacity() * fraction * 0.3),
                download(fileService, fileService.capacity() * fraction * 0.5));
    }

    /** Returns the mixed load and a flood in one rank at a multiple of the capacity of the first service. */
    public List<LoadPart> flood(Rank rank, double fraction, double capacityMultiple) {
        List<LoadPart> parts = new ArrayList<>(mixed(fraction));
        ServicePlan refreshService = plan.services().get(0);
        parts.add(part("look", refreshService, "GET", Rank.URGENT, refreshService.capacity() * fraction * 0.2));
        parts.add(part("flood", refreshService, "GET", rank, refreshService.capacity() * capacityMultiple)
                .withDeadline(FLOOD_DEADLINE_MILLIS));
        return parts;
    }

    private LoadPart part(String name, ServicePlan service, String method, Rank rank, double rate) {
        return new LoadPart(
                name,
                service.name(),
                method,
                "/" + service.name() + "-" + name,
                SMALL_BYTES,
                rank,
                rate,
                service.maxDeadlineMs(),
                plan.customers());
    }

    private LoadPart download(ServicePlan service, double rate) {
        return new LoadPart(
                "download",
                service.name(),
                "GET",
                "/download",
                DOWNLOAD_BYTES,
                Rank.STANDARD,
                rate,
                service.maxDeadlineMs(),
                plan.customers());
    }
}

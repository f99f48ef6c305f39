package io.carawaylift.testing.demo;

import io.carawaylift.model.Rank;
import io.carawaylift.testing.caller.LoadPart;
import io.carawaylift.testing.demo.SitePlan.ServicePlan;
import java.util.ArrayList;
import java.util.List;

/** Loads for a site, in proportion to the capacity of its services. */
public final class SiteLoads {
    private static final int SMALL_BYTES = 400;
    private static final int DOWNLOAD_BYTES = 400_000;

    /** Short, so that refused work ends soon and the callers can keep up the rate of the flood. */
    private static final long FLOOD_DEADLINE_MS = 1_000;

    private final SitePlan plan;

    /** Creates loads; the site's services are, in this order, repeatable lookups, once-only work, and files. */
    public SiteLoads(SitePlan plan) {
        this.plan = plan;
    }

    /** Returns the mixed load at a fraction of each service's capacity. */
    public List<LoadPart> mixed(double fraction) {
        ServicePlan refresh = plan.services().get(0);
        ServicePlan once = plan.services().get(1);
        ServicePlan files = plan.services().get(2);
        return List.of(
                part("refresh", refresh, "GET", Rank.STANDARD, refresh.capacity() * fraction * 0.8),
                part("prefetch", refresh, "GET", Rank.DEFERRABLE, refresh.capacity() * fraction * 0.2),
                part("confirm", once, "POST", Rank.URGENT, once.capacity() * fraction * 0.7),
                part("overnight", once, "POST", Rank.DEFERRABLE, once.capacity() * fraction * 0.3),
                part("deposit", files, "POST", Rank.URGENT, files.capacity() * fraction * 0.3),
                download(files, files.capacity() * fraction * 0.5));
    }

    /** Returns the mixed load and, in a rank, a flood of several times the capacity of the first service. */
    public List<LoadPart> flood(Rank rank, double fraction, double times) {
        List<LoadPart> parts = new ArrayList<>(mixed(fraction));
        ServicePlan refresh = plan.services().get(0);
        parts.add(part("look", refresh, "GET", Rank.URGENT, refresh.capacity() * fraction * 0.2));
        parts.add(
                part("flood", refresh, "GET", rank, refresh.capacity() * times).withDeadline(FLOOD_DEADLINE_MS));
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

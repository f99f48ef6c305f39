package io.carawaylift.loadmodel;

import java.util.LinkedHashMap;
import java.util.Map;

/** Fleets with the figures of docs/design/customers-and-overload.md at a fraction of their size. */
public final class LoadFleets {
    private static final double REGION_DELAY_MILLIS = 35;

    /**
     * Mean processing time as a multiple of that of a usual request at an endpoint of usual speed: 3 % take seven times
     * as long, a seventh of the endpoints is 2.5 times slower.
     */
    private static final double UNEVENNESS = (1 + 0.03 * 6) * (1 + 1.5 / 7);

    /** Hosts per zone and scale; the deployments have 67 and 84 hosts in six zones, which is scale 5. */
    private static final int HOSTS = 2;

    private LoadFleets() {}

    private static FleetModel.Builder zones(int scale) {
        return FleetModel.builder()
                .regionDelay(REGION_DELAY_MILLIS)
                .zone("w1", "west", HOSTS * scale)
                .zone("c1", "centre", HOSTS * scale)
                .zone("s1", "south", HOSTS * scale)
                .zone("w2", "west", HOSTS * scale)
                .zone("c2", "centre", HOSTS * scale)
                .zone("s2", "south", HOSTS * scale);
    }

    /** Distributes endpoints so that the west has a tenth of them. */
    private static Map<String, Integer> endpoints(int total) {
        Map<String, Integer> byZone = new LinkedHashMap<>();
        int west = Math.max(1, total / 20);
        int centre = Math.max(1, total / 5);
        byZone.put("w1", west);
        byZone.put("w2", west);
        byZone.put("c1", centre);
        byZone.put("c2", centre);
        int south = total - 2 * west - 2 * centre;
        byZone.put("s1", south / 2);
        byZone.put("s2", south - south / 2);
        return byZone;
    }

    /** Returns the deployment A: three kinds share a service whose endpoints cache 30 objects. */
    public static FleetModel featureFlags(int scale) {
        return zones(scale)
                .service(ServiceModel.builder("reads")
                        .endpoints(endpoints(24 * scale))
                        .slots(9, 27)
                        .cachedObjects(30)
                        .processing(1080, 0.3)
                        .latency(800, 3000, 6000)
                        .load(181 * scale, 22 * scale)
                        .priority(1)
                        .coldPerSecond(4)
                        .build())
                .service(ServiceModel.builder("audit")
                        .sharing("reads")
                        .processing(1400, 0.3)
                        .latency(2000, 4000, 8000)
                        .load(52 * scale, 6 * scale)
                        .priority(2)
                        .repeatable(false)
                        .build())
                .service(ServiceModel.builder("kill-switches")
                        .sharing("reads")
                        .processing(740, 0.3)
                        .latency(500, 2500, 5000)
                        .load(46 * scale, 6 * scale)
                        .priority(0)
                        .repeatable(false)
                        .build())
                .build();
    }

    /** Returns the deployment B: endpoints of uneven speed without caches; reports and floor maps share a service. */
    public static FleetModel deskBooking(int scale) {
        return zones(scale)
                .service(ServiceModel.builder("look-ups")
                        .endpoints(endpoints(13 * scale))
                        .slots(4, 12)
                        .processing(443 / UNEVENNESS, 1)
                        .latency(400, 2000, 4000)
                        .load(132 * scale, 22 * scale)
                        .uneven(0.03, true)
                        .withoutAffinity()
                        .coldPerSecond(4)
                        .build())
                .service(ServiceModel.builder("reports")
                        .endpoints(endpoints(15 * scale))
                        .slots(4, 12)
                        .processing(1097 / UNEVENNESS, 1)
                        .latency(1000, 4000, 8000)
                        .load(60 * scale, 22 * scale)
                        .uneven(0.03, true)
                        .withoutAffinity()
                        .priority(2)
                        .build())
                .service(ServiceModel.builder("floor-maps")
                        .sharing("reports")
                        .processing(180 / UNEVENNESS, 1)
                        .latency(200, 1500, 3000)
                        .load(34 * scale, 22 * scale)
                        .uneven(0.03, true)
                        .withoutAffinity()
                        .priority(0)
                        .build())
                .build();
    }
}

package io.carawaylift.loadmodel;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The places, hosts and services of a deployment. Immutable. Created by {@link #builder}. */
public final class FleetModel {
    private static final double ZONE_DELAY_MILLIS = 1;
    private static final double REGION_DELAY_MILLIS = 20;

    private final Map<String, String> regionsByZone;
    private final Map<String, Integer> hostsByZone;
    private final List<ServiceModel> services;
    private final double regionDelayMillis;

    private FleetModel(Builder builder) {
        this.regionsByZone = new LinkedHashMap<>(builder.regionsByZone);
        this.hostsByZone = new LinkedHashMap<>(builder.hostsByZone);
        this.services = List.copyOf(builder.services);
        this.regionDelayMillis = builder.regionDelayMillis;
    }

    /** Returns a builder of a fleet without zones and services. */
    public static Builder builder() {
        return new Builder();
    }

    Map<String, String> regionsByZone() {
        return regionsByZone;
    }

    List<String> zones() {
        return List.copyOf(regionsByZone.keySet());
    }

    List<String> regions() {
        return regionsByZone.values().stream().distinct().toList();
    }

    int hosts(String zone) {
        return hostsByZone.get(zone);
    }

    List<ServiceModel> services() {
        return services;
    }

    /** Returns the service with a name. */
    ServiceModel service(String name) {
        return services.stream()
                .filter(service -> service.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the delay in one direction between two zones in milliseconds. */
    double delayMillis(String from, String to) {
        if (from.equals(to)) {
            return 0;
        }
        return regionsByZone.get(from).equals(regionsByZone.get(to)) ? ZONE_DELAY_MILLIS : regionDelayMillis;
    }

    /** Builds a {@link FleetModel}. */
    public static final class Builder {
        private final Map<String, String> regionsByZone = new LinkedHashMap<>();
        private final Map<String, Integer> hostsByZone = new LinkedHashMap<>();
        private final List<ServiceModel> services = new ArrayList<>();

        private double regionDelayMillis = REGION_DELAY_MILLIS;

        private Builder() {}

        /** Sets the delay in one direction between two regions in milliseconds. */
        public Builder regionDelay(double millis) {
            regionDelayMillis = millis;
            return this;
        }

        /** Adds a zone with a number of hosts. */
        public Builder zone(String zone, String region, int hosts) {
            regionsByZone.put(zone, region);
            hostsByZone.put(zone, hosts);
            return this;
        }

        /** Adds a service. */
        public Builder service(ServiceModel service) {
            services.add(service);
            return this;
        }

        /** Creates the fleet. */
        public FleetModel build() {
            return new FleetModel(this);
        }
    }
}

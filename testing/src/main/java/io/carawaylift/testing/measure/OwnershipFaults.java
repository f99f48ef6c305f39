package io.carawaylift.testing.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Injects random faults into a region; several can be active at once. Each seed uses a random subset of the kinds of faults,
 * because combinations of a few kinds would be rare if all kinds occurred.
 */
final class OwnershipFaults {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int KIND_COUNT = 16;

    private final SimulatedRegion region;
    private final Random random;
    private final List<Integer> kinds = new ArrayList<>();
    private final int meanFaultsPerHeal;

    OwnershipFaults(SimulatedRegion region) {
        this.region = region;
        this.random = region.random();
        for (int kind = 0; kind < KIND_COUNT; kind++) {
            if (random.nextInt(3) == 0) {
                kinds.add(kind);
            }
        }
        if (kinds.isEmpty()) {
            kinds.add(random.nextInt(KIND_COUNT));
        }
        meanFaultsPerHeal = 2 + random.nextInt(8);
    }

    /** Injects one fault; sometimes also ends the network and platform faults or restarts all hosts. */
    void inject() {
        String host = region.randomHost();
        switch (kinds.get(random.nextInt(kinds.size()))) {
            case 0 -> region.restartEntry(host);
            case 1 -> region.restartControl(host);
            case 2 -> region.restartHost(host);
            case 3 -> region.replaceHost(host);
            case 4 -> region.pauseEntry(host, randomDurationNanos(25));
            case 5 -> region.pauseControl(host, randomDurationNanos(25));
            case 6 -> region.partition(host, 1 + random.nextInt(3));
            case 7 -> isolate(host);
            case 8 -> partitionHosts();
            case 9 -> region.disconnectFromPlatform(host);
            case 10 -> region.messageLossRate(random.nextDouble() * 0.7);
            case 11 ->
                region.platform().faults().outageUntilNanos = region.events().nowNanos() + randomDurationNanos(40);
            case 12 -> region.platform().faults().lateRate = random.nextDouble() * 0.5;
            case 13 -> region.platform().faults().lossRate = random.nextDouble() * 0.7;
            case 14 ->
                region.platform().faults().watchOutageUntilNanos =
                        region.events().nowNanos() + randomDurationNanos(60);
            case 15 -> region.drain(host);
            default -> throw new AssertionError();
        }
        if (random.nextInt(meanFaultsPerHeal) == 0) {
            region.heal();
        }
        if (random.nextInt(200) == 0) {
            region.hosts().forEach(region::restartHost);
        }
    }

    private void isolate(String host) {
        region.partition(host, 9);
        region.disconnectFromPlatform(host);
    }

    private void partitionHosts() {
        List<String> hosts = region.hosts();
        hosts.forEach(host -> region.partition(host, random.nextInt(2)));
    }

    private long randomDurationNanos(int maxSeconds) {
        return random.nextInt(maxSeconds * 1_000) * NANOS_PER_MILLI;
    }
}

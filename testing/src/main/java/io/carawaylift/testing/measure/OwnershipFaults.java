package io.carawaylift.testing.measure;

import java.util.List;
import java.util.Random;

/** Injects random faults into a world; several can be in force at once. */
final class OwnershipFaults {
    private static final long MILLISECOND = 1_000_000L;

    private final OwnershipWorld world;
    private final Random random;

    OwnershipFaults(OwnershipWorld world) {
        this.world = world;
        this.random = world.random();
    }

    /** Injects one fault or ends the network and platform faults. */
    void inject() {
        String host = world.randomHost();
        switch (random.nextInt(16)) {
            case 0 -> world.restartEntry(host);
            case 1 -> world.restartControl(host);
            case 2 -> world.restartHost(host);
            case 3 -> world.replaceHost(host);
            case 4 -> world.pauseEntry(host, duration(25));
            case 5 -> world.pauseControl(host, duration(25));
            case 6 -> world.split(host, 1 + random.nextInt(3));
            case 7 -> isolate(host);
            case 8 -> splitHalf();
            case 9 -> world.cutFromPlatform(host);
            case 10 -> world.messageLoss(random.nextDouble() * 0.7);
            case 11 -> world.platform().faults().outageUntil = world.events().now() + duration(40);
            case 12 -> world.platform().faults().lateRate = random.nextDouble() * 0.5;
            case 13 -> world.platform().faults().lossRate = random.nextDouble() * 0.7;
            case 14 -> world.platform().faults().watchDownUntil = world.events().now() + duration(60);
            case 15 -> world.leave(host);
            default -> throw new AssertionError();
        }
        if (random.nextInt(5) == 0) {
            world.heal();
        }
        if (random.nextInt(200) == 0) {
            world.hosts().forEach(world::restartHost);
        }
    }

    private void isolate(String host) {
        world.split(host, 9);
        world.cutFromPlatform(host);
    }

    private void splitHalf() {
        List<String> hosts = world.hosts();
        hosts.forEach(host -> world.split(host, random.nextInt(2)));
    }

    private long duration(int mostSeconds) {
        return random.nextInt(mostSeconds * 1_000) * MILLISECOND;
    }
}

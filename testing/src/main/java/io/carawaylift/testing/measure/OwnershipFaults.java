package io.carawaylift.testing.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Injects random faults into a world; several can be in force at once. Each seed uses a random subset of the kinds of faults,
 * because rare combinations of few kinds are seldom met when all kinds occur.
 */
final class OwnershipFaults {
    private static final long MILLISECOND = 1_000_000L;
    private static final int KINDS = 16;

    private final OwnershipWorld world;
    private final Random random;
    private final List<Integer> kinds = new ArrayList<>();
    private final int healOneIn;

    OwnershipFaults(OwnershipWorld world) {
        this.world = world;
        this.random = world.random();
        for (int kind = 0; kind < KINDS; kind++) {
            if (random.nextInt(3) == 0) {
                kinds.add(kind);
            }
        }
        if (kinds.isEmpty()) {
            kinds.add(random.nextInt(KINDS));
        }
        healOneIn = 2 + random.nextInt(8);
    }

    /** Injects one fault or ends the network and platform faults. */
    void inject() {
        String host = world.randomHost();
        switch (kinds.get(random.nextInt(kinds.size()))) {
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
        if (random.nextInt(healOneIn) == 0) {
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

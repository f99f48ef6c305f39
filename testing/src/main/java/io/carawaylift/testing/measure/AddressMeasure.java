package io.carawaylift.testing.measure;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import io.carawaylift.decisions.address.AddressMap;
import io.carawaylift.model.AddressBlockList;
import io.carawaylift.model.AddressBlockList.Block;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** Measures lookups per second, bytes per block, build time and update time of the address map, on one thread. */
@Command(name = "address-measure", description = "Measures the map from client blocks to sites")
public final class AddressMeasure {
    private static final int[] BLOCK_COUNTS = {10_000, 100_000, 300_000, 930_000};
    private static final int BLOCKS_PER_LIST = 20_000;
    private static final int SITES = 450;
    private static final int MIN_PREFIX_LENGTH = 12;
    private static final int MAX_PREFIX_LENGTH = 26;
    private static final int WARM_UP_LOOKUPS = 500_000;
    private static final int LOOKUPS = 2_000_000;
    private static final int PATCHES = 10;
    private static final double NANOS_PER_MILLI = 1e6;

    @Arguments(description = "Seed")
    private List<Long> arguments = new ArrayList<>();

    /** Creates the command; the parser sets its fields. */
    public AddressMeasure() {}

    /** Runs the measurement. */
    public static void main(String[] args) {
        SingleCommand.singleCommand(AddressMeasure.class).parse(args).run();
    }

    private void run() {
        if (arguments.size() != 1) {
            throw new IllegalArgumentException("expected one argument, the seed, but got " + arguments);
        }
        System.out.println("  blocks  lookups/s  bytes/block  table MB  heap MB  build ms  patch ms");
        for (int size : BLOCK_COUNTS) {
            System.out.println(measure(size, new SplittableRandom(arguments.get(0))));
        }
    }

    private static String measure(int size, SplittableRandom random) {
        Map<Integer, AddressBlockList> lists = randomLists(size, random);
        AddressMap.of(lists);
        long before = usedHeap();
        long start = System.nanoTime();
        AddressMap map = AddressMap.of(lists);
        double buildMs = (System.nanoTime() - start) / NANOS_PER_MILLI;
        double heapMb = (usedHeap() - before) / 1e6;
        runLookups(map, WARM_UP_LOOKUPS, random.split());
        start = System.nanoTime();
        runLookups(map, LOOKUPS, random.split());
        double perSecond = LOOKUPS * 1e9 / (System.nanoTime() - start);
        double patchMs = measurePatchMs(map, lists);
        return String.format(
                Locale.ROOT,
                "%8d %10.0f %12.1f %9.1f %8.1f %9.1f %9.1f",
                map.size(),
                perSecond,
                (double) map.bytes() / map.size(),
                map.bytes() / 1e6,
                heapMb,
                buildMs,
                patchMs);
    }

    private static double measurePatchMs(AddressMap map, Map<Integer, AddressBlockList> lists) {
        AddressMap patched = map.with(0, lists.get(0));
        long start = System.nanoTime();
        for (int i = 0; i < PATCHES; i++) {
            patched = patched.with(0, lists.get(0));
        }
        double elapsedMs = (System.nanoTime() - start) / NANOS_PER_MILLI;
        if (patched.size() != map.size()) {
            throw new IllegalStateException("replacing a list by itself changed the number of blocks");
        }
        return elapsedMs / PATCHES;
    }

    /** Looks up random addresses; the sum of the results is used so that the compiler cannot eliminate the calls. */
    private static void runLookups(AddressMap map, int count, SplittableRandom random) {
        long sum = 0;
        for (int i = 0; i < count; i++) {
            sum += map.siteOf(random.nextInt());
        }
        if (sum == Long.MIN_VALUE) {
            throw new IllegalStateException("impossible sum of site numbers");
        }
    }

    private static Map<Integer, AddressBlockList> randomLists(int size, SplittableRandom random) {
        Set<Long> seen = new HashSet<>();
        List<Block> blocks = new ArrayList<>();
        Map<Integer, AddressBlockList> lists = new HashMap<>();
        while (seen.size() < size) {
            int length = random.nextInt(MIN_PREFIX_LENGTH, MAX_PREFIX_LENGTH + 1);
            int address = random.nextInt() & (-1 << (32 - length));
            if (!seen.add((long) address << 8 | length)) {
                continue;
            }
            blocks.add(new Block(prefix(address, length), "site-" + random.nextInt(SITES)));
            if (blocks.size() == BLOCKS_PER_LIST || seen.size() == size) {
                lists.put(lists.size(), new AddressBlockList(blocks));
                blocks.clear();
            }
        }
        return lists;
    }

    private static String prefix(int address, int length) {
        return (address >>> 24) + "." + (address >>> 16 & 255) + "." + (address >>> 8 & 255) + "." + (address & 255)
                + "/" + length;
    }

    private static long usedHeap() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}

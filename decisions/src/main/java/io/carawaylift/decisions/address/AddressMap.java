package io.carawaylift.decisions.address;

import io.carawaylift.decisions.Invariant;
import io.carawaylift.model.AddressBlockList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Maps IPv4 addresses to site numbers by longest prefix match. Immutable and thread-safe. If several lists contain the same
 * block, the list with the lowest number takes precedence; within a list, the last entry does.
 *
 * <p>Five parallel arrays in the order of {@link SortedBlocks} take 13 bytes per block: address (4), prefix length (1), site
 * number (2), list number (2), and the index of the smallest larger block that contains it (4, -1 for none). With 930,000
 * blocks that is 12.1 MB. {@link #with} builds new arrays and temporarily needs up to three times as much. Each site name is
 * stored once.
 *
 * <p>A lookup is a binary search for the last block that starts at or before the address, followed by a walk through the
 * enclosing blocks until one contains the address.
 */
public final class AddressMap {
    /** Returned by {@link #siteOf} for an address that no block contains. */
    public static final int NO_SITE = -1;

    private static final int MAX_SITES = 0x10000;
    private static final int BYTES_PER_BLOCK = 13;
    private static final int NO_BLOCK = -1;
    private static final AddressMap EMPTY = new AddressMap(List.of(), SortedBlocks.of(0, List.of(), name -> 0));

    private final List<String> sites;
    private final SortedBlocks blocks;
    private final int[] enclosing;

    private AddressMap(List<String> sites, SortedBlocks blocks) {
        this.sites = List.copyOf(sites);
        this.blocks = blocks;
        this.enclosing = enclosing(blocks);
    }

    /** Returns a map without blocks. */
    public static AddressMap empty() {
        return EMPTY;
    }

    /**
     * Builds a map from lists by list number.
     *
     * @throws IllegalArgumentException if a prefix is not an IPv4 prefix or a list number is not from 0 to 65535
     */
    public static AddressMap of(Map<Integer, AddressBlockList> lists) {
        SortedMap<Integer, AddressBlockList> ordered = new TreeMap<>(lists);
        SiteNumbers numbers = new SiteNumbers(List.of());
        List<SortedBlocks> sortedLists = new ArrayList<>();
        ordered.forEach((number, list) -> sortedLists.add(SortedBlocks.of(number, list.blocks(), numbers::of)));
        return new AddressMap(numbers.names, mergeAll(sortedLists));
    }

    /**
     * Returns a map in which one list is replaced; an empty list removes its blocks. Takes time linear in the number of blocks,
     * because the blocks of other lists are not parsed or sorted again. Site numbers of this map remain valid.
     *
     * @throws IllegalArgumentException as for {@link #of}
     */
    public AddressMap with(int listNumber, AddressBlockList list) {
        SiteNumbers numbers = new SiteNumbers(sites);
        SortedBlocks replacement = SortedBlocks.of(listNumber, list.blocks(), numbers::of);
        return new AddressMap(numbers.names, SortedBlocks.merge(blocks, replacement, listNumber));
    }

    /** Returns the site number of an address given as 32 bits, or {@link #NO_SITE}. */
    public int siteOf(int address) {
        int index = lastStartingAtOrBefore(address);
        while (index != NO_BLOCK) {
            if ((address & Ipv4.mask(blocks.length[index])) == blocks.address[index]) {
                return Short.toUnsignedInt(blocks.site[index]);
            }
            index = enclosing[index];
        }
        return NO_SITE;
    }

    /**
     * Returns the site number of an address, or {@link #NO_SITE}.
     *
     * @throws IllegalArgumentException if {@code address} is not an IPv4 address in decimal notation
     */
    public int siteOf(String address) {
        return siteOf(Ipv4.address(address));
    }

    /** Returns the name of a site; {@code number} must be a result of {@link #siteOf} other than {@link #NO_SITE}. */
    public String siteName(int number) {
        return sites.get(number);
    }

    /** Returns the number of blocks. */
    public int size() {
        return blocks.size();
    }

    /** Returns the size of the arrays in bytes. */
    public long bytes() {
        return (long) size() * BYTES_PER_BLOCK;
    }

    private int lastStartingAtOrBefore(int address) {
        int low = 0;
        int high = blocks.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            if (Integer.compareUnsigned(blocks.address[middle], address) <= 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return high;
    }

    /** Merges lists pairwise, so that each block is copied a logarithmic number of times in the number of lists. */
    private static SortedBlocks mergeAll(List<SortedBlocks> sortedLists) {
        List<SortedBlocks> current = sortedLists;
        while (current.size() > 1) {
            List<SortedBlocks> merged = new ArrayList<>();
            for (int i = 0; i < current.size(); i += 2) {
                boolean single = i + 1 == current.size();
                merged.add(single ? current.get(i) : SortedBlocks.merge(current.get(i), current.get(i + 1), -1));
            }
            current = merged;
        }
        return current.isEmpty() ? EMPTY.blocks : current.get(0);
    }

    private static int[] enclosing(SortedBlocks blocks) {
        int[] result = new int[blocks.size()];
        int innermost = NO_BLOCK;
        for (int i = 0; i < result.length; i++) {
            while (innermost != NO_BLOCK
                    && (blocks.address[i] & Ipv4.mask(blocks.length[innermost])) != blocks.address[innermost]) {
                innermost = result[innermost];
            }
            Invariant.check(
                    innermost == NO_BLOCK || blocks.length[innermost] <= blocks.length[i],
                    "a block must follow the blocks that contain it",
                    i);
            result[i] = innermost;
            innermost = i;
        }
        return result;
    }

    private static final class SiteNumbers {
        private final List<String> names;
        private final Map<String, Integer> numbers = new HashMap<>();

        SiteNumbers(List<String> known) {
            names = new ArrayList<>(known);
            for (String name : known) {
                numbers.put(name, numbers.size());
            }
        }

        int of(String name) {
            Integer number = numbers.get(name);
            if (number != null) {
                return number;
            }
            if (names.size() >= MAX_SITES) {
                throw new IllegalArgumentException("more than 65536 sites, no number left for: " + name);
            }
            names.add(name);
            numbers.put(name, names.size() - 1);
            return names.size() - 1;
        }
    }
}

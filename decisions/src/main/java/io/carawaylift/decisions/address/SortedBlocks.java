package io.carawaylift.decisions.address;

import io.carawaylift.model.AddressBlockList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToIntFunction;

/**
 * Blocks in parallel arrays of 9 bytes per block, sorted by address, then length, then descending list number. A block follows
 * all blocks that contain it.
 */
final class SortedBlocks {
    private static final int MAX_LIST_NUMBER = 0xFFFF;
    /** A sort key of 64 bits holds the address, the length and, in the remaining bits, the position in the list. */
    private static final int LENGTH_BITS = 6;

    private static final int POSITION_BITS = Long.SIZE - Ipv4.BITS - LENGTH_BITS;
    private static final long POSITION_MASK = (1L << POSITION_BITS) - 1;

    final int[] address;
    final byte[] length;
    final short[] site;
    final short[] list;

    private SortedBlocks(int size) {
        this(new int[size], new byte[size], new short[size], new short[size]);
    }

    private SortedBlocks(int[] address, byte[] length, short[] site, short[] list) {
        this.address = address;
        this.length = length;
        this.site = site;
        this.list = list;
    }

    int size() {
        return address.length;
    }

    /**
     * Parses and sorts the blocks of one list.
     *
     * @throws IllegalArgumentException if the list number is not from 0 to 65535 or a prefix is not an IPv4 prefix
     */
    static SortedBlocks of(int listNumber, List<AddressBlockList.Block> blocks, ToIntFunction<String> siteNumbers) {
        if (listNumber < 0 || listNumber > MAX_LIST_NUMBER) {
            throw new IllegalArgumentException("list number must be from 0 to 65535: " + listNumber);
        }
        long[] keys = new long[blocks.size()];
        for (int i = 0; i < keys.length; i++) {
            String prefix = blocks.get(i).prefix();
            int length = Ipv4.length(prefix);
            long network = Integer.toUnsignedLong(Ipv4.network(prefix, length));
            // With the sign bit flipped, the signed order of the keys is the unsigned order of the addresses.
            keys[i] = ((network << LENGTH_BITS | length) << POSITION_BITS | i) ^ Long.MIN_VALUE;
        }
        Arrays.sort(keys);
        SortedBlocks sorted = new SortedBlocks(keys.length);
        for (int i = 0; i < keys.length; i++) {
            long key = keys[i] ^ Long.MIN_VALUE;
            sorted.address[i] = (int) (key >>> (POSITION_BITS + LENGTH_BITS));
            sorted.length[i] = (byte) (key >>> POSITION_BITS & ((1 << LENGTH_BITS) - 1));
            sorted.site[i] = (short) siteNumbers.applyAsInt(
                    blocks.get((int) (key & POSITION_MASK)).site());
            sorted.list[i] = (short) listNumber;
        }
        return sorted;
    }

    /** Merges two sorted lists, without the blocks of {@code omittedList} in {@code left}; -1 omits none. */
    static SortedBlocks merge(SortedBlocks left, SortedBlocks right, int omittedList) {
        SortedBlocks merged = new SortedBlocks(left.size() + right.size());
        int from = 0;
        int to = 0;
        for (int i = 0; i < left.size(); i++) {
            if (Short.toUnsignedInt(left.list[i]) == omittedList) {
                continue;
            }
            while (from < right.size() && right.isBefore(from, left, i)) {
                merged.copy(to++, right, from++);
            }
            merged.copy(to++, left, i);
        }
        while (from < right.size()) {
            merged.copy(to++, right, from++);
        }
        return to == merged.size() ? merged : merged.first(to);
    }

    private boolean isBefore(int index, SortedBlocks other, int otherIndex) {
        int order = Integer.compareUnsigned(address[index], other.address[otherIndex]);
        if (order == 0) {
            order = Byte.compare(length[index], other.length[otherIndex]);
        }
        if (order == 0) {
            order = Integer.compare(Short.toUnsignedInt(other.list[otherIndex]), Short.toUnsignedInt(list[index]));
        }
        return order < 0;
    }

    private void copy(int to, SortedBlocks other, int from) {
        address[to] = other.address[from];
        length[to] = other.length[from];
        site[to] = other.site[from];
        list[to] = other.list[from];
    }

    private SortedBlocks first(int size) {
        return new SortedBlocks(
                Arrays.copyOf(address, size),
                Arrays.copyOf(length, size),
                Arrays.copyOf(site, size),
                Arrays.copyOf(list, size));
    }
}

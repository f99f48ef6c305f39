package io.carawaylift.model;

import java.util.List;

/**
 * One list of the map from blocks of client addresses to sites, stored under {@link RecordNames#BLOCKS_PREFIX} and the
 * number of the list.
 */
public record AddressBlockList(List<Block> blocks) {
    public AddressBlockList {
        blocks = List.copyOf(blocks);
    }

    /**
     * A block of client addresses.
     *
     * @param prefix IPv4 prefix in CIDR notation, for example {@code 10.1.0.0/16}
     * @param site name of the preferred site
     */
    public record Block(String prefix, String site) {}
}

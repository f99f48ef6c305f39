package io.carawaylift.model;

import java.util.List;

/** Part of the map from blocks of client addresses to sites, record {@code blocks/<n>}. */
public record AddressBlockList(List<Block> blocks) {
    public AddressBlockList {
        blocks = List.copyOf(blocks);
    }

    /**
     * One block.
     *
     * @param prefix IPv4 prefix, for example {@code 10.1.0.0/16}
     * @param site name of the preferred site
     */
    public record Block(String prefix, String site) {}
}

package io.carawaylift.model;

/**
 * Table row of a rank.
 *
 * @param floorPercent least share of slot time, in percent, that the rank keeps while it has work waiting
 */
public record RankRow(Rank rank, int floorPercent) implements TableRow {
    @Override
    public String key() {
        return "rank " + rank.label();
    }
}

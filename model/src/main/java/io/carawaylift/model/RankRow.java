package io.carawaylift.model;

/**
 * Table row of a rank.
 *
 * @param floorPercent minimum share of slot time, in percent, that the rank gets while it has queued requests
 */
public record RankRow(Rank rank, int floorPercent) implements TableRow {
    @Override
    public String key() {
        return "rank " + rank.label();
    }
}

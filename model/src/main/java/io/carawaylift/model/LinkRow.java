package io.carawaylift.model;

/**
 * Table row of the link from one region to another, in one direction.
 *
 * @param maxMbitPerSecond maximum rate of all traffic of carawaylift in this direction, in 10^6 bits per second
 */
public record LinkRow(String from, String to, int maxMbitPerSecond) implements TableRow {
    private static final long BYTES_PER_MBIT = 125_000;

    @Override
    public String key() {
        return "link " + from + " " + to;
    }

    /** Returns the maximum rate in bytes per second. */
    public long bytesPerSecond() {
        return maxMbitPerSecond * BYTES_PER_MBIT;
    }
}

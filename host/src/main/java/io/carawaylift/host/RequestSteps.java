package io.carawaylift.host;

/**
 * What happened to a request, for its log line. Text is appended without format strings, whose parsing costs more than the
 * rest of a step in a program that has just started.
 */
final class RequestSteps {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int INITIAL_CHARACTERS = 96;
    private static final double TENTHS = 10;

    private final StringBuilder text = new StringBuilder(INITIAL_CHARACTERS);
    private final long arrivedNanos;

    RequestSteps(long arrivedNanos) {
        this.arrivedNanos = arrivedNanos;
    }

    /** Starts a step with the time since the arrival. */
    RequestSteps step(String what) {
        if (text.length() > 0) {
            text.append("; ");
        }
        text.append(Math.round((System.nanoTime() - arrivedNanos) / NANOS_PER_MILLI))
                .append(" ms: ")
                .append(what);
        return this;
    }

    RequestSteps append(String more) {
        text.append(more);
        return this;
    }

    RequestSteps append(long number) {
        text.append(number);
        return this;
    }

    /** Appends a number with one digit after the point. */
    RequestSteps appendTenths(double number) {
        text.append(Math.round(number * TENTHS) / TENTHS);
        return this;
    }

    @Override
    public String toString() {
        return text.toString();
    }
}

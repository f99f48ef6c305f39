package io.carawaylift.loadmodel;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Plays patterns against the decisions of the product and its baselines and prints a table. Arguments: seed, scale and,
 * optionally, names of patterns.
 */
public final class LoadModelProgram {
    private static final int WINDOW_SECONDS = 4;

    private LoadModelProgram() {}

    /** Runs the command; exits with status 2 for invalid arguments. */
    @SuppressWarnings("SystemOut")
    public static void main(String[] args) {
        if (args.length < 2) {
            System.err.println("usage: loadmodel SEED SCALE [PATTERN...]; patterns: " + LoadPatterns.names());
            System.exit(2);
            return;
        }
        long seed = Long.parseLong(args[0]);
        int scale = Integer.parseInt(args[1]);
        List<String> names =
                args.length > 2 ? List.of(args).subList(2, args.length) : List.copyOf(LoadPatterns.names());
        System.out.printf(
                Locale.ROOT,
                "%-40s %-17s %8s %8s %8s %8s %8s  %s%n",
                "pattern",
                "policy",
                "in time",
                "answered",
                "refused",
                "worst4s",
                "zone",
                "in time and not cached by service");
        for (String name : names) {
            for (LoadPolicy policy : LoadPolicy.values()) {
                print(
                        policy,
                        name,
                        LoadRun.play(LoadPatterns.fleet(name, scale), LoadPatterns.named(name), policy, seed));
            }
        }
    }

    @SuppressWarnings("SystemOut")
    private static void print(LoadPolicy policy, String pattern, LoadResult result) {
        double worstZone = result.byZone().values().stream()
                .mapToDouble(LoadResult.Tally::inTimeFraction)
                .min()
                .orElse(1);
        StringBuilder services = new StringBuilder();
        for (Map.Entry<String, LoadResult.Tally> service : result.byService().entrySet()) {
            services.append(String.format(
                    Locale.ROOT,
                    " %s %.3f %.3f",
                    service.getKey(),
                    service.getValue().inTimeFraction(),
                    result.uncachedFraction(service.getKey())));
        }
        LoadResult.Tally all = result.all();
        System.out.printf(
                Locale.ROOT,
                "%-40s %-17s %8.3f %8.3f %8.3f %8.3f %8.3f %s%n",
                pattern,
                policy,
                all.inTimeFraction(),
                all.answeredFraction(),
                (double) all.refused() / Math.max(1, all.total()),
                result.worstWindow(WINDOW_SECONDS, 0),
                worstZone,
                services);
    }
}

package io.carawaylift.decisions.route;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.decisions.customer.CustomerDirectory;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RouteTableTest {
    private static final List<String> PREFIX_ENDS = List.of("/", "/v2/", "/v2/area/", "/v2/area/part/");

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                RequestKind.SAFE,
                1000,
                500,
                0,
                List.of(new WeightedService("service", 1)),
                2,
                true,
                Set.of(),
                false);
    }

    private static RouteTable table(Route... routes) {
        return new RouteTable(1, List.of(routes), List.of(), CallerLimits.DEFAULT, CustomerDirectory.EMPTY);
    }

    private static Optional<String> match(RouteTable table, String host, String target) {
        return table.match(host, target).map(Route::name);
    }

    /** Guards against a request that is run by the service of a shorter prefix. */
    @Test
    void theLongestPrefixWinsWhateverTheOrderOfTheRoutes() {
        RouteTable table = table(route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"));

        assertThat(match(table, "a.example", "/x/y/z")).hasValue("long");
        assertThat(match(table, "a.example", "/x/yz")).hasValue("short");
    }

    /** Guards against prefixes compared by characters instead of path segments. */
    @Test
    void aPathWithoutTheClosingSlashOfThePrefixDoesNotMatch() {
        RouteTable table = table(route("one", "a.example", "/abc/"));

        assertThat(match(table, "a.example", "/abc")).isEmpty();
        assertThat(match(table, "a.example", "/abcd/e")).isEmpty();
    }

    /** Guards against a query that looks like a path. */
    @Test
    void theQueryIsNotPartOfThePath() {
        RouteTable table = table(route("one", "a.example", "/abc/"));

        assertThat(match(table, "a.example", "/?/abc/")).isEmpty();
        assertThat(match(table, "a.example", "/abc/?x=/other/")).hasValue("one");
    }

    /** Guards against hosts of one operator reaching another's routes, and against hosts compared by case or port. */
    @Test
    void theHostIsMatchedWithoutPortAndCase() {
        RouteTable table = table(route("a", "a.example", "/x/"), route("b", "b.example", "/x/"));

        assertThat(match(table, "B.Example:8080", "/x/1")).hasValue("b");
        assertThat(match(table, "c.example", "/x/1")).isEmpty();
    }

    /** Guards against a prefix that would match in the middle of a segment. */
    @Test
    void aPrefixMustBeginAndEndWithASlash() {
        assertThrows(IllegalArgumentException.class, () -> route("bad", "a.example", "/x"));
    }

    /** Guards against a change of which route applies when an operator writes a prefix twice. */
    @Test
    void theFirstOfTwoRoutesWithTheSamePrefixApplies() {
        RouteTable table = table(route("first", "A.example", "/x/"), route("second", "a.example", "/x/"));

        assertThat(match(table, "a.example", "/x/1")).hasValue("first");
        assertThat(table.size()).isEqualTo(2);
    }

    /** Guards against a path of many slashes that takes a look-up for each. */
    @Test
    void aLongPathOfSlashesDoesNotCostALookUpForEach() {
        RouteTable table = table(route("root", "a.example", "/"), route("one", "a.example", "/x/"));
        String path = "/".repeat(16_000);

        long start = System.nanoTime();
        for (int i = 0; i < 1000; i++) {
            assertThat(match(table, "a.example", path)).hasValue("root");
        }
        // With a look-up for each slash, one request takes 20 ms; a thousand of them take less without.
        assertThat(System.nanoTime() - start).isLessThan(2_000_000_000L);
    }

    /**
     * Load: 1,400 routes of one host, with prefixes of one to four segments. Guards against a request that walks over
     * all routes, and against a result that differs from such a walk.
     */
    @Test
    void matchingOf1400RoutesCostsLookUpsOfThePrefixesOfThePath() {
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 1400; i++) {
            routes.add(route("route-" + i, "a.example", "/app-" + i % 350 + PREFIX_ENDS.get(i / 350)));
        }
        RouteTable table = table(routes.toArray(Route[]::new));
        List<Route> longestFirst = routes.stream()
                .sorted(Comparator.comparingInt(
                        (Route route) -> -route.pathPrefix().length()))
                .toList();
        List<String> targets = IntStream.range(0, 1400)
                .mapToObj(i -> "/app-" + i * 7 % 400 + "/v2/area/part/list".substring(0, 1 + i % 18) + "/item-" + i)
                .toList();

        for (String target : targets) {
            assertThat(table.match("a.example", target)).isEqualTo(walk(longestFirst, target));
        }
        double walkNanos = leastNanosPerMatch(targets, target -> walk(longestFirst, target));
        double matchNanos = leastNanosPerMatch(targets, target -> table.match("a.example", target));
        assertWithMessage("nanoseconds of a walk and of look-ups: %s, %s", walkNanos, matchNanos)
                .that(matchNanos * 3)
                .isLessThan(walkNanos);
    }

    private static Optional<Route> walk(List<Route> longestFirst, String path) {
        for (Route route : longestFirst) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static double leastNanosPerMatch(List<String> targets, Function<String, Optional<Route>> matcher) {
        double least = Double.POSITIVE_INFINITY;
        int matches = 0;
        for (int round = 0; round < 20; round++) {
            long start = System.nanoTime();
            for (String target : targets) {
                matches += matcher.apply(target).isPresent() ? 1 : 0;
            }
            least = Math.min(least, (double) (System.nanoTime() - start) / targets.size());
        }
        assertThat(matches).isGreaterThan(0);
        return least;
    }
}

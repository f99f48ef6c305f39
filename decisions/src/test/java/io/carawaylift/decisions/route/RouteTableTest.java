package io.carawaylift.decisions.route;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.carawaylift.decisions.customer.CustomerDirectory;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class RouteTableTest {
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
}

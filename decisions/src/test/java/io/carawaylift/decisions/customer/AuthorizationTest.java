package io.carawaylift.decisions.customer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.carawaylift.decisions.customer.CustomerDirectory.IgnoredEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class AuthorizationTest {
    private static final Customer NORTH = customer("north", OptionalInt.of(0), Set.of("r1"));
    private static final Customer SOUTH = customer("south", OptionalInt.empty(), Set.of());
    private static final CustomerDirectory CUSTOMERS =
            new CustomerDirectory(Map.of(NORTH, Set.of("key-n1", "key-n2", "both"), SOUTH, Set.of("key-s", "both")));

    private static Customer customer(String name, OptionalInt priority, Set<String> homeRegions) {
        return new Customer(name, priority, 0, 0, homeRegions);
    }

    private static Authorization check(String... keys) {
        return Authorization.of(CUSTOMERS, false, List.of(keys));
    }

    /** Guards against a request that runs for another customer or for none. */
    @Test
    void eachKeyIdentifiesItsCustomer() {
        assertThat(check("key-n1").customer()).hasValue(NORTH);
        assertThat(check("key-n2").customer()).hasValue(NORTH);
        assertThat(check("key-s").customer()).hasValue(SOUTH);
    }

    /** Guards against a request that runs without a valid key. */
    @Test
    void aMissingUnknownSharedOrSecondKeyIsRefused() {
        assertThat(check().allowed()).isFalse();
        assertThat(check("").allowed()).isFalse();
        assertThat(check("KEY-S").allowed()).isFalse();
        assertThat(check("both").allowed()).isFalse();
        assertThat(check("key-s", "key-s").allowed()).isFalse();
        assertThat(check("key-s", "key-n1").customer()).isEmpty();
    }

    /** Guards against a key that identifies one of three holders, and against holders that the log doesn't name. */
    @Test
    void aKeyOfThreeCustomersIdentifiesNoneAndAllAreNamed() {
        Customer west = customer("west", OptionalInt.empty(), Set.of());
        CustomerDirectory customers =
                new CustomerDirectory(Map.of(NORTH, Set.of("x", "n"), SOUTH, Set.of("x"), west, Set.of("x")));

        assertThat(customers.byKey("x")).isEmpty();
        assertThat(customers.byKey("n")).hasValue(NORTH);
        assertThat(customers.customersWithSharedKeys()).containsExactly("north", "south", "west");
    }

    /** Guards against public routes that refuse requests, or that treat a withdrawn key unlike none. */
    @Test
    void aPublicRouteIgnoresKeys() {
        assertThat(Authorization.of(CUSTOMERS, true, List.of()).allowed()).isTrue();
        assertThat(Authorization.of(CUSTOMERS, true, List.of("key-s")).customer())
                .isEmpty();
    }

    /** Guards against keys being required where there are no customers. */
    @Test
    void noKeyIsNeededWithoutCustomers() {
        assertThat(Authorization.of(CustomerDirectory.EMPTY, false, List.of()).allowed())
                .isTrue();
        assertThat(Authorization.of(CustomerDirectory.EMPTY, false, List.of("any"))
                        .allowed())
                .isTrue();
    }

    /** Guards against an empty table that opens all routes. */
    @Test
    void noKeyIsValidIfTheTableIsEmpty() {
        CustomerDirectory empty = new CustomerDirectory(Map.of());

        assertThat(Authorization.of(empty, false, List.of("key-s")).allowed()).isFalse();
        assertThat(Authorization.of(empty, false, List.of()).allowed()).isFalse();
        assertThat(Authorization.of(empty, true, List.of()).allowed()).isTrue();
    }

    /** Guards against withdrawn keys that are valid because the whole table was removed. */
    @Test
    void noKeyIsValidAfterTheTableWasRemoved() {
        CustomerDirectory removed = CustomerDirectory.EMPTY.after(CUSTOMERS);

        assertThat(Authorization.of(removed, false, List.of("key-s")).allowed()).isFalse();
        assertThat(Authorization.of(removed, false, List.of("any")).allowed()).isFalse();
        assertThat(Authorization.of(removed, false, List.of()).allowed()).isTrue();
        assertThat(CustomerDirectory.EMPTY.after(removed).keyUse()).isEqualTo(KeyUse.WITHDRAWN);
        assertThat(CUSTOMERS.after(removed)).isEqualTo(CUSTOMERS);
        assertThat(CustomerDirectory.EMPTY.after(CustomerDirectory.EMPTY).keyUse())
                .isEqualTo(KeyUse.IGNORED);
    }

    /** Guards against a mistake in the only entry that opens all routes. */
    @Test
    void aKeyIsNeededIfTheOnlyEntryIsMalformed() {
        CustomerDirectory customers = new CustomerDirectory(Map.of(), List.of(new IgnoredEntry(0, "north", "reason")));

        assertThat(Authorization.of(customers, false, List.of("key-n1")).allowed())
                .isFalse();
    }

    /** Guards against the route's rank for a customer that has its own, and against leaving its home regions. */
    @Test
    void theCustomersRankAndHomeRegionsApply() {
        assertThat(check("key-n1").priority(3)).isEqualTo(0);
        assertThat(check("key-s").priority(3)).isEqualTo(3);
        assertThat(check("key-n1").mayRunIn("r1")).isTrue();
        assertThat(check("key-n1").mayRunIn("r2")).isFalse();
        assertThat(check("key-s").mayRunIn("r2")).isTrue();
    }

    /** Load: 76 customers with 8 keys each. Guards against a search through all keys. */
    @Test
    void aKeyIsFoundAmongHundredsByOneLookUp() {
        Map<Customer, Set<String>> keys = new HashMap<>();
        List<String> all = new ArrayList<>();
        for (int i = 0; i < 76; i++) {
            Set<String> ofCustomer = new HashSet<>();
            for (int j = 0; j < 8; j++) {
                ofCustomer.add("key-" + i * 7919L + "-" + j);
            }
            all.addAll(ofCustomer);
            keys.put(customer("customer-" + i, OptionalInt.empty(), Set.of()), ofCustomer);
        }
        CustomerDirectory many = new CustomerDirectory(keys);
        CustomerDirectory one = new CustomerDirectory(Map.of(SOUTH, Set.copyOf(all.subList(0, 8))));

        double manyNanos = leastNanos(many, all);
        double oneNanos = leastNanos(one, all.subList(0, 8));
        // A search through 608 keys would take some 76 times as long as one through 8.
        assertWithMessage("nanoseconds with 608 keys and with 8: %s, %s", manyNanos, oneNanos)
                .that(manyNanos)
                .isLessThan(20 * oneNanos + 100);
    }

    private static double leastNanos(CustomerDirectory customers, List<String> keys) {
        List<List<String>> values = keys.stream().map(List::of).toList();
        double least = Double.POSITIVE_INFINITY;
        for (int round = 0; round < 200; round++) {
            long start = System.nanoTime();
            int allowed = 0;
            for (List<String> value : values) {
                allowed += Authorization.of(customers, false, value).allowed() ? 1 : 0;
            }
            least = Math.min(least, (double) (System.nanoTime() - start) / values.size());
            assertThat(allowed).isEqualTo(values.size());
        }
        return least;
    }
}

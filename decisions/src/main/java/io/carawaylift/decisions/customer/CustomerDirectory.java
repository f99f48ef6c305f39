package io.carawaylift.decisions.customer;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Finds customers by their keys. Immutable. */
public final class CustomerDirectory {
    /** A directory without customers; requests then need no key. */
    public static final CustomerDirectory EMPTY = new CustomerDirectory(Map.of());

    private final Map<String, Customer> byKey;
    private final Map<String, Customer> byName;

    /**
     * Creates a directory. A key that several customers hold identifies none of them.
     *
     * @param keysByCustomer keys of each customer
     */
    public CustomerDirectory(Map<Customer, Set<String>> keysByCustomer) {
        Map<String, Customer> keys = new HashMap<>();
        Map<String, Customer> names = new HashMap<>();
        Set<String> sharedKeys = new HashSet<>();
        keysByCustomer.forEach((customer, customerKeys) -> {
            names.put(customer.name(), customer);
            for (String key : customerKeys) {
                if (keys.putIfAbsent(key, customer) != null) {
                    sharedKeys.add(key);
                }
            }
        });
        keys.keySet().removeAll(sharedKeys);
        byKey = Map.copyOf(keys);
        byName = Map.copyOf(names);
    }

    /** Returns whether there are no customers, so that requests need no key. */
    public boolean isEmpty() {
        return byName.isEmpty();
    }

    /** Returns all customers. */
    public Collection<Customer> all() {
        return byName.values();
    }

    /** Returns the customer that holds the key, empty if none does. */
    public Optional<Customer> byKey(String key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /** Returns the customer with the name, empty if there is none. */
    public Optional<Customer> byName(String name) {
        return Optional.ofNullable(byName.get(name));
    }
}

package io.carawaylift.decisions.customer;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Finds customers by their keys. Immutable. */
public final class CustomerDirectory {
    /** The directory of a configuration without a table of customers. */
    public static final CustomerDirectory EMPTY = new CustomerDirectory(KeyUse.IGNORED, Map.of(), List.of());

    /** The directory of a configuration without a table of customers that replaced one with a table. */
    public static final CustomerDirectory REMOVED = new CustomerDirectory(KeyUse.WITHDRAWN, Map.of(), List.of());

    private final KeyUse keyUse;

    private final Map<String, Customer> byKey;
    private final Map<String, Customer> byName;
    private final List<IgnoredEntry> ignoredEntries;
    private final Set<String> customersWithSharedKeys;

    /**
     * An entry of the configuration that defines no customer.
     *
     * @param row index of the entry, from 0
     * @param name name of the customer, empty if it has none
     * @param reason what is wrong; contains no value of the entry, since that may be a key
     */
    public record IgnoredEntry(int row, String name, String reason) {}

    /**
     * Creates a directory of a table of customers. A key that several customers hold identifies none of them.
     *
     * @param keysByCustomer keys of each customer
     */
    public CustomerDirectory(Map<Customer, Set<String>> keysByCustomer) {
        this(keysByCustomer, List.of());
    }

    /**
     * Creates a directory of a table of customers in which some entries define none.
     *
     * @param keysByCustomer keys of each customer
     */
    public CustomerDirectory(Map<Customer, Set<String>> keysByCustomer, List<IgnoredEntry> ignoredEntries) {
        this(KeyUse.REQUIRED, keysByCustomer, ignoredEntries);
    }

    private CustomerDirectory(
            KeyUse keyUse, Map<Customer, Set<String>> keysByCustomer, List<IgnoredEntry> ignoredEntries) {
        this.keyUse = keyUse;
        Map<String, Customer> keys = new HashMap<>();
        Map<String, Customer> names = new HashMap<>();
        Set<String> sharedKeys = new HashSet<>();
        Set<String> sharing = new TreeSet<>();
        keysByCustomer.forEach((customer, customerKeys) -> {
            names.put(customer.name(), customer);
            for (String key : customerKeys) {
                Customer other = keys.putIfAbsent(key, customer);
                if (other != null) {
                    sharedKeys.add(key);
                    sharing.add(customer.name());
                    sharing.add(other.name());
                }
            }
        });
        keys.keySet().removeAll(sharedKeys);
        this.byKey = Map.copyOf(keys);
        this.byName = Map.copyOf(names);
        this.ignoredEntries = List.copyOf(ignoredEntries);
        this.customersWithSharedKeys = Set.copyOf(sharing);
    }

    /** Returns what the configuration demands of keys; never null. A table without valid entries opens no route. */
    public KeyUse keyUse() {
        return keyUse;
    }

    /**
     * Returns the directory that applies after an earlier one: this one, or {@link #REMOVED} if the table of customers was
     * removed.
     */
    public CustomerDirectory after(CustomerDirectory earlier) {
        return keyUse == KeyUse.IGNORED && earlier.keyUse != KeyUse.IGNORED ? REMOVED : this;
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

    /** Returns whether any key identifies the customer. */
    public boolean hasUsableKey(Customer customer) {
        return byKey.containsValue(customer);
    }

    /** Returns the entries that define no customer. */
    public List<IgnoredEntry> ignoredEntries() {
        return ignoredEntries;
    }

    /** Returns the names of the customers that hold a key of another one. */
    public Set<String> customersWithSharedKeys() {
        return customersWithSharedKeys;
    }
}

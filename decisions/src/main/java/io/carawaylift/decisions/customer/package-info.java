/** The customers of the configuration in force, their keys, and whether the configuration may still be relied on. */
package io.carawaylift.decisions.customer;

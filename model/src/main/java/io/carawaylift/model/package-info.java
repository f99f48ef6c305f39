/** Identifiers, ranks, result codes, the operators' table, and the records that the platform stores. */
package io.carawaylift.model;

/** Identifiers, ranks, result codes, the operators' table and the records that the platform keeps. */
package io.carawaylift.model;

package io.carawaylift.entry;

/** One HTTP header line. */
record HeaderField(String name, String value) {}

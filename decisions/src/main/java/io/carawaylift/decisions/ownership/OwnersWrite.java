package io.carawaylift.decisions.ownership;

import io.carawaylift.model.OwnersRecord;

/**
 * A conditional update of a record {@code owners/} that the control program sends to the platform.
 *
 * @param name record name
 * @param expectedVersion version that the record must still have, 0 if it must not exist
 */
public record OwnersWrite(String name, long expectedVersion, OwnersRecord record) {}

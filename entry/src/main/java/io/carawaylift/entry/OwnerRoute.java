package io.carawaylift.entry;

import io.carawaylift.model.EntryProcess;

/** An upstream and the owner that forwards requests to it. */
record OwnerRoute(String upstream, EntryProcess owner) {}

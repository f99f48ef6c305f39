package io.carawaylift.entry;

import io.carawaylift.model.EntryProcess;

/** An upstream and the owner through which to reach it. */
record OwnerRoute(String upstream, EntryProcess owner) {}

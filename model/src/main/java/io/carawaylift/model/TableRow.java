package io.carawaylift.model;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/** One row of the operators' table. Rows are equal when all columns are. */
@JsonIgnoreProperties("key")
public sealed interface TableRow permits RegionRow, ServiceRow, UpstreamRow, LinkRow, RankRow {
    /** Returns the row's kind and name, unique in a table. */
    String key();
}

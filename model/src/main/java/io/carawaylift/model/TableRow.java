package io.carawaylift.model;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/** One row of the operators' table. Rows are equal if all columns are equal. */
@JsonIgnoreProperties("key")
public sealed interface TableRow permits RegionRow, ServiceRow, UpstreamRow, LinkRow, RankRow {
    /** Returns the kind and name of the row, which are unique in a table. */
    String key();
}

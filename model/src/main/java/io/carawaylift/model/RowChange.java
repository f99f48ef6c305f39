package io.carawaylift.model;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Change of one row or setting between two tables.
 *
 * @param key kind and name of the row, or name of the setting
 * @param before text of the row in the older table, null if the row was added
 * @param after text of the row in the newer table, null if the row was removed
 */
public record RowChange(String key, String before, String after) {
    /**
     * Returns the changed rows in table order, then the changed settings; empty if the tables have the same content.
     */
    public static List<RowChange> between(Table older, Table newer) {
        Map<String, TableRow> olderRows = older.rows();
        Map<String, TableRow> newerRows = newer.rows();
        Set<String> keys = new LinkedHashSet<>(olderRows.keySet());
        keys.addAll(newerRows.keySet());
        List<RowChange> changes = new ArrayList<>();
        for (String key : keys) {
            add(changes, key, olderRows.get(key), newerRows.get(key));
        }
        add(changes, "shift", older.maxShiftPercentPerSecond(), newer.maxShiftPercentPerSecond());
        add(changes, "lookup", older.lookupLifetimeMs(), newer.lookupLifetimeMs());
        return changes;
    }

    private static void add(List<RowChange> changes, String key, Object before, Object after) {
        if (!Objects.equals(before, after)) {
            changes.add(new RowChange(key, textOrNull(before), textOrNull(after)));
        }
    }

    private static String textOrNull(Object row) {
        return row == null ? null : row.toString();
    }

    @Override
    public String toString() {
        if (before == null) {
            return "added " + after;
        }
        return after == null ? "removed " + before : "changed " + before + " to " + after;
    }
}

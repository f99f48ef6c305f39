package io.carawaylift.decisions.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Computes edits that turn one list of lines into another. The edits are not always minimal; a greedy search suffices because
 * rows are mostly changed, added or removed in place.
 */
final class LineDiff {
    /** Maximum number of new lines examined for the next common line; bounds the work for a long run of new lines. */
    private static final int LOOK_AHEAD_LINES = 64;

    private final List<String> oldLines;
    private final List<String> newLines;
    private final Map<String, TreeSet<Integer>> positions = new HashMap<>();
    private final List<RecordDelta.Edit> edits = new ArrayList<>();
    private int oldNext;
    private int newNext;

    private LineDiff(List<String> oldLines, List<String> newLines) {
        this.oldLines = oldLines;
        this.newLines = newLines;
        for (int i = 0; i < oldLines.size(); i++) {
            positions.computeIfAbsent(oldLines.get(i), line -> new TreeSet<>()).add(i);
        }
    }

    /** Returns the edits in ascending order of old lines. */
    static List<RecordDelta.Edit> between(List<String> oldLines, List<String> newLines) {
        LineDiff diff = new LineDiff(oldLines, newLines);
        diff.run();
        return diff.edits;
    }

    private void run() {
        while (oldNext < oldLines.size() || newNext < newLines.size()) {
            if (atCommonLine()) {
                oldNext++;
                newNext++;
            } else {
                editUpToNextCommonLine();
            }
        }
    }

    private boolean atCommonLine() {
        return oldNext < oldLines.size()
                && newNext < newLines.size()
                && oldLines.get(oldNext).equals(newLines.get(newNext));
    }

    private void editUpToNextCommonLine() {
        int bestOld = oldLines.size();
        int bestNew = newLines.size();
        int end = Math.min(newLines.size(), newNext + LOOK_AHEAD_LINES);
        for (int candidate = newNext; candidate < end; candidate++) {
            Integer match = positionAtOrAfter(newLines.get(candidate));
            if (match != null && match + candidate < bestOld + bestNew) {
                bestOld = match;
                bestNew = candidate;
            }
        }
        edits.add(new RecordDelta.Edit(oldNext, bestOld - oldNext, newLines.subList(newNext, bestNew)));
        oldNext = bestOld;
        newNext = bestNew;
    }

    private Integer positionAtOrAfter(String line) {
        TreeSet<Integer> lines = positions.get(line);
        return lines == null ? null : lines.ceiling(oldNext);
    }
}

package io.carawaylift.decisions.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Finds edits that turn one list of lines into another. Not always the fewest, because rows are mostly changed, added or
 * removed in place.
 */
final class LineDiff {
    /** New lines examined for the next common line; bounds the work at a long run of new lines. */
    private static final int LOOK_AHEAD_LINES = 64;

    private final List<String> old;
    private final List<String> now;
    private final Map<String, TreeSet<Integer>> positions = new HashMap<>();
    private final List<RecordDelta.Edit> edits = new ArrayList<>();
    private int oldNext;
    private int nowNext;

    private LineDiff(List<String> old, List<String> now) {
        this.old = old;
        this.now = now;
        for (int i = 0; i < old.size(); i++) {
            positions.computeIfAbsent(old.get(i), line -> new TreeSet<>()).add(i);
        }
    }

    /** Returns the edits in ascending order of old lines. */
    static List<RecordDelta.Edit> between(List<String> old, List<String> now) {
        LineDiff diff = new LineDiff(old, now);
        diff.run();
        return diff.edits;
    }

    private void run() {
        while (oldNext < old.size() || nowNext < now.size()) {
            if (atCommonLine()) {
                oldNext++;
                nowNext++;
            } else {
                editUpToNextCommonLine();
            }
        }
    }

    private boolean atCommonLine() {
        return oldNext < old.size() && nowNext < now.size() && old.get(oldNext).equals(now.get(nowNext));
    }

    private void editUpToNextCommonLine() {
        int bestOld = old.size();
        int bestNow = now.size();
        int end = Math.min(now.size(), nowNext + LOOK_AHEAD_LINES);
        for (int candidate = nowNext; candidate < end; candidate++) {
            Integer match = positionAtOrAfter(now.get(candidate));
            if (match != null && match + candidate < bestOld + bestNow) {
                bestOld = match;
                bestNow = candidate;
            }
        }
        edits.add(new RecordDelta.Edit(oldNext, bestOld - oldNext, now.subList(nowNext, bestNow)));
        oldNext = bestOld;
        nowNext = bestNow;
    }

    private Integer positionAtOrAfter(String line) {
        TreeSet<Integer> lines = positions.get(line);
        return lines == null ? null : lines.ceiling(oldNext);
    }
}

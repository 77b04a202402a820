package dev.wigeonward.core.revision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.base.Preconditions;
import com.google.common.base.Utf8;

/**
 * The lines by which one revision differs from another.
 *
 * @param edits in ascending order of their lines, without overlap
 */
public record RevisionDelta(long fromNumber, String fromHash, long toNumber, String toHash, List<Edit> edits) {
    private static final int EDIT_OVERHEAD_BYTES = 16;

    /**
     * A replacement of lines.
     *
     * @param startLine first line replaced, counted from 0 in the old text
     */
    public record Edit(int startLine, int removedLines, List<String> addedLines) {
        public Edit {
            Preconditions.checkArgument(startLine >= 0, "startLine is %s", startLine);
            Preconditions.checkArgument(removedLines >= 0, "removedLines is %s", removedLines);
            addedLines = List.copyOf(addedLines);
        }
    }

    public RevisionDelta {
        edits = List.copyOf(edits);
    }

    /**
     * Returns the edits that lead from one revision to the other. Lines that occur once in both texts serve as anchors,
     * which suits rules, as no valid file holds a rule twice. Takes time linear in the lines and their logarithm.
     */
    public static RevisionDelta between(Revision from, Revision to) {
        List<String> oldLines = lines(from.text());
        List<String> newLines = lines(to.text());
        List<Edit> edits = new ArrayList<>();
        int oldDone = 0;
        int newDone = 0;
        for (int[] anchor : anchors(oldLines, newLines)) {
            addEdit(edits, oldLines.subList(oldDone, anchor[0]), newLines.subList(newDone, anchor[1]), oldDone);
            oldDone = anchor[0] + 1;
            newDone = anchor[1] + 1;
        }
        addEdit(edits, oldLines.subList(oldDone, oldLines.size()), newLines.subList(newDone, newLines.size()), oldDone);
        return new RevisionDelta(from.number(), from.hash(), to.number(), to.hash(), edits);
    }

    private static List<String> lines(String text) {
        return Arrays.asList(text.split("\n", -1));
    }

    /** Returns the longest sequence of pairs (old line, new line) of unique lines that ascends in both texts. */
    private static List<int[]> anchors(List<String> oldLines, List<String> newLines) {
        Map<String, Integer> oldPositions = uniquePositions(oldLines);
        Map<String, Integer> newPositions = uniquePositions(newLines);
        List<int[]> pairs = new ArrayList<>();
        for (int position = 0; position < oldLines.size(); position++) {
            Integer oldPosition = oldPositions.get(oldLines.get(position));
            Integer newPosition = newPositions.get(oldLines.get(position));
            if (oldPosition != null && oldPosition == position && newPosition != null && newPosition >= 0) {
                pairs.add(new int[] {position, newPosition});
            }
        }
        return longestAscending(pairs);
    }

    /** Returns the position of each line, -1 for a line that occurs more than once. */
    private static Map<String, Integer> uniquePositions(List<String> lines) {
        Map<String, Integer> positions = new HashMap<>();
        for (int position = 0; position < lines.size(); position++) {
            positions.merge(lines.get(position), position, (first, second) -> -1);
        }
        return positions;
    }

    private static List<int[]> longestAscending(List<int[]> pairs) {
        int[] tails = new int[pairs.size()];
        int[] previous = new int[pairs.size()];
        int length = 0;
        for (int index = 0; index < pairs.size(); index++) {
            int low = 0;
            int high = length;
            while (low < high) {
                int middle = (low + high) >>> 1;
                if (pairs.get(tails[middle])[1] < pairs.get(index)[1]) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            previous[index] = low == 0 ? -1 : tails[low - 1];
            tails[low] = index;
            length = Math.max(length, low + 1);
        }
        List<int[]> result = new ArrayList<>(length);
        for (int index = length == 0 ? -1 : tails[length - 1]; index >= 0; index = previous[index]) {
            result.add(pairs.get(index));
        }
        Collections.reverse(result);
        return result;
    }

    private static void addEdit(List<Edit> edits, List<String> removed, List<String> added, int startLine) {
        int prefix = 0;
        int shorter = Math.min(removed.size(), added.size());
        while (prefix < shorter && removed.get(prefix).equals(added.get(prefix))) {
            prefix++;
        }
        int suffix = 0;
        while (suffix < shorter - prefix
                && removed.get(removed.size() - 1 - suffix).equals(added.get(added.size() - 1 - suffix))) {
            suffix++;
        }
        int removedLines = removed.size() - prefix - suffix;
        List<String> addedLines = added.subList(prefix, added.size() - suffix);
        if (removedLines > 0 || !addedLines.isEmpty()) {
            edits.add(new Edit(startLine + prefix, removedLines, addedLines));
        }
    }

    /** Returns the revision that the edits make of the base, or empty if a number, hash or line does not fit. */
    public Optional<Revision> apply(Revision base) {
        if (base.number() != fromNumber || !base.hash().equals(fromHash) || toNumber <= fromNumber) {
            return Optional.empty();
        }
        List<String> oldLines = lines(base.text());
        List<String> result = new ArrayList<>(oldLines.size());
        int done = 0;
        for (Edit edit : edits) {
            if (edit.startLine() < done || edit.removedLines() > oldLines.size() - edit.startLine()) {
                return Optional.empty();
            }
            result.addAll(oldLines.subList(done, edit.startLine()));
            result.addAll(edit.addedLines());
            done = edit.startLine() + edit.removedLines();
        }
        result.addAll(oldLines.subList(done, oldLines.size()));
        return Optional.of(Revision.relayed(toNumber, toHash, String.join("\n", result)))
                .filter(Revision::verifies);
    }

    /** Returns about how many bytes the edits take in a frame. */
    public long sizeBytes() {
        return edits.stream()
                .mapToLong(edit -> EDIT_OVERHEAD_BYTES
                        + edit.addedLines().stream()
                                .mapToLong(line -> Utf8.encodedLength(line) + 2L)
                                .sum())
                .sum();
    }
}

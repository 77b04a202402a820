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
 * A line-based difference from one revision to a later one.
 *
 * @param edits replacements in ascending order of their start lines, without overlap
 */
public record RevisionDelta(long fromNumber, String fromHash, long toNumber, String toHash, List<Edit> edits) {
    /** Estimated bytes of an edit in a frame besides its added lines. */
    private static final int EDIT_OVERHEAD_BYTES = 16;

    /**
     * A replacement of consecutive lines.
     *
     * @param startLine index of the first replaced line in the old text, starting at 0
     */
    public record Edit(int startLine, int removedLines, List<String> addedLines) {
        public Edit {
            Preconditions.checkArgument(
                    startLine >= 0, "start line of an edit must not be negative, got %s", startLine);
            Preconditions.checkArgument(
                    removedLines >= 0, "number of removed lines must not be negative, got %s", removedLines);
            addedLines = List.copyOf(addedLines);
        }
    }

    public RevisionDelta {
        edits = List.copyOf(edits);
    }

    /**
     * Returns the delta from one revision to another. Lines that occur exactly once in each text serve as anchors
     * (patience diff). This suits rules, since a valid file contains no rule twice. Takes O(n log n) time for n lines.
     */
    public static RevisionDelta between(Revision from, Revision to) {
        List<String> oldLines = lines(from.text());
        List<String> newLines = lines(to.text());
        List<Edit> edits = new ArrayList<>();
        int oldStart = 0;
        int newStart = 0;
        for (int[] anchor : anchors(oldLines, newLines)) {
            addEdit(edits, oldLines.subList(oldStart, anchor[0]), newLines.subList(newStart, anchor[1]), oldStart);
            oldStart = anchor[0] + 1;
            newStart = anchor[1] + 1;
        }
        addEdit(
                edits,
                oldLines.subList(oldStart, oldLines.size()),
                newLines.subList(newStart, newLines.size()),
                oldStart);
        return new RevisionDelta(from.number(), from.hash(), to.number(), to.hash(), edits);
    }

    private static List<String> lines(String text) {
        return Arrays.asList(text.split("\n", -1));
    }

    /** Returns the longest sequence of (old index, new index) pairs of unique lines that increases in both texts. */
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
        return longestIncreasingSubsequence(pairs);
    }

    /** Returns the index of each line, or -1 for a line that occurs more than once. */
    private static Map<String, Integer> uniquePositions(List<String> lines) {
        Map<String, Integer> positions = new HashMap<>();
        for (int position = 0; position < lines.size(); position++) {
            positions.merge(lines.get(position), position, (first, second) -> -1);
        }
        return positions;
    }

    /** Returns the longest subsequence whose new indexes increase; the old indexes of the pairs already do. */
    private static List<int[]> longestIncreasingSubsequence(List<int[]> pairs) {
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

    /** Adds an edit for two ranges without their common first and last lines; equal ranges add none. */
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

    /**
     * Applies the edits to the base and returns the resulting revision. Returns empty if the base has another number or
     * hash, if the target number is not higher, if an edit lies outside the text or overlaps another, or if the
     * resulting text does not have the target hash.
     */
    public Optional<Revision> apply(Revision base) {
        if (base.number() != fromNumber || !base.hash().equals(fromHash) || toNumber <= fromNumber) {
            return Optional.empty();
        }
        List<String> oldLines = lines(base.text());
        List<String> result = new ArrayList<>(oldLines.size());
        int nextLine = 0;
        for (Edit edit : edits) {
            if (edit.startLine() < nextLine || edit.removedLines() > oldLines.size() - edit.startLine()) {
                return Optional.empty();
            }
            result.addAll(oldLines.subList(nextLine, edit.startLine()));
            result.addAll(edit.addedLines());
            nextLine = edit.startLine() + edit.removedLines();
        }
        result.addAll(oldLines.subList(nextLine, oldLines.size()));
        return Optional.of(Revision.receivedFromPeer(toNumber, toHash, String.join("\n", result)))
                .filter(Revision::hashMatchesText);
    }

    /** Returns the estimated size of the edits in a frame, in bytes. */
    public long sizeBytes() {
        return edits.stream()
                .mapToLong(edit -> EDIT_OVERHEAD_BYTES
                        + edit.addedLines().stream()
                                .mapToLong(line -> Utf8.encodedLength(line) + 2L)
                                .sum())
                .sum();
    }
}

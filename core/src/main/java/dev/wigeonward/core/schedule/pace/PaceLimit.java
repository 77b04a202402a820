package dev.wigeonward.core.schedule.pace;

/**
 * Limit on the requests that all entries together have at a paced upstream. It depends on the cumulative counts only,
 * so that all entries with the same counts compute the same limit, whatever the order in which they learned them.
 */
final class PaceLimit {
    /** Requests at a time before the first answer; an engine without kept prompts reads that many one after another. */
    private static final long INITIAL_REQUESTS = 4;
    /**
     * Number of setbacks above which the limit no longer falls; with more of them, an upstream that answers well would
     * need hundreds of answers to get its slots back.
     */
    private static final int MAX_COUNTED_SETBACKS = 4;

    private PaceLimit() {}

    /** Returns the limit, at least 1 and at most the slots. The pace ends when it reaches the slots. */
    static int of(PaceCounts counts, int slots) {
        long grown = Math.min(Integer.MAX_VALUE, counts.goodAnswers()) + INITIAL_REQUESTS;
        return (int) Math.max(1, Math.min(slots, grown >> countedSetbacks(counts)));
    }

    /** Returns the number of good answers at which the limit reaches the slots with the given setbacks. */
    static long goodAnswersToEnd(int slots, PaceCounts counts) {
        return Math.max(0, ((long) slots << countedSetbacks(counts)) - INITIAL_REQUESTS);
    }

    private static int countedSetbacks(PaceCounts counts) {
        return (int) Math.min(MAX_COUNTED_SETBACKS, counts.setbacks());
    }
}

package dev.wigeonward.measure.moves;

import java.util.List;

/** A stretch of time; the end is not part of it. */
record Interval(long fromMillis, long toMillis) {
    static final Interval NONE = new Interval(0, 0);

    boolean contains(long millis) {
        return millis >= fromMillis && millis < toMillis;
    }

    static boolean anyContains(List<Interval> intervals, long millis) {
        for (Interval interval : intervals) {
            if (interval.contains(millis)) {
                return true;
            }
        }
        return false;
    }
}

package dev.wigeonward.measure.moves;

import java.util.List;

/** A time interval that includes its start and excludes its end. */
record Interval(long fromMillis, long toMillis) {
    /** The empty interval. */
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

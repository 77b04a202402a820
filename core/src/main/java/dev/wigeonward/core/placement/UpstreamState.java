package dev.wigeonward.core.placement;

import com.google.common.base.Preconditions;

/** Load of one upstream as seen by one entry: own outstanding work, exact, and the last report. Not thread-safe. */
public final class UpstreamState {
    /** Time in which a report loses half of its weight, in milliseconds. */
    static final long REPORT_HALF_LIFE_MILLIS = 2_000;

    private final UpstreamDescription description;
    private long ownWorkMillis;
    private int ownOutstanding;
    private long reportedBacklogMillis;
    private int reportedOutstanding;
    private long reportedAtMillis;
    private long ownWorkAtReportMillis;
    private int ownOutstandingAtReport;

    private UpstreamState(UpstreamDescription description) {
        this.description = description;
    }

    /** Returns the state of an upstream without load. */
    public static UpstreamState of(UpstreamDescription description) {
        return new UpstreamState(description);
    }

    /** Returns what the agent announced. */
    public UpstreamDescription description() {
        return description;
    }

    /** Counts a dispatch of the given expected work. */
    public void onDispatched(long serviceMillis) {
        ownWorkMillis += serviceMillis;
        ownOutstanding++;
    }

    /** Counts the end of a dispatch, with the same expected work as at its start. */
    public void onEnded(long serviceMillis) {
        Preconditions.checkState(ownOutstanding > 0, "no dispatch outstanding at %s", description.upstreamId());
        ownWorkMillis -= serviceMillis;
        ownOutstanding--;
    }

    /** Takes over a load report. */
    public void onReport(LoadReport report, long nowMillis) {
        reportedBacklogMillis = report.backlogMillis();
        reportedOutstanding = report.running() + report.queued();
        reportedAtMillis = nowMillis;
        ownWorkAtReportMillis = ownWorkMillis;
        ownOutstandingAtReport = ownOutstanding;
    }

    /** Returns the number of own requests that have not ended. */
    public int ownOutstanding() {
        return ownOutstanding;
    }

    /** Returns the expected work of the own requests that have not ended, in milliseconds. */
    public long ownWorkMillis() {
        return ownWorkMillis;
    }

    /**
     * Returns the expected time before a new request starts, in milliseconds; 0 while a slot is expected to be free.
     *
     * <p>Outstanding work is the larger of the own one and the faded report plus what was dispatched since the report.
     * With n requests outstanding at s slots, a new one starts when n - s + 1 of them have ended.
     */
    public long waitMillis(long nowMillis) {
        int slots = description.slots();
        double weight = reportWeight(nowMillis);
        int dispatchedSince = Math.max(0, ownOutstanding - ownOutstandingAtReport);
        double outstanding = Math.max(ownOutstanding, reportedOutstanding * weight + dispatchedSince);
        if (outstanding < slots) {
            return 0;
        }
        long workSinceMillis = Math.max(0, ownWorkMillis - ownWorkAtReportMillis);
        double workPerSlotMillis = Math.max(
                (double) ownWorkMillis / slots, reportedBacklogMillis * weight + (double) workSinceMillis / slots);
        return (long) (workPerSlotMillis * (outstanding - slots + 1) / outstanding);
    }

    private double reportWeight(long nowMillis) {
        if (reportedOutstanding == 0) {
            return 0;
        }
        long ageMillis = Math.max(0, nowMillis - reportedAtMillis);
        return Math.pow(0.5, (double) ageMillis / REPORT_HALF_LIFE_MILLIS);
    }
}

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
     * <p>It is the larger of the wait by own outstanding work and the wait by the report and what was dispatched since.
     * The report's wait fades, not its count of requests: a fading count makes a full upstream look free.
     */
    public long waitMillis(long nowMillis) {
        int slots = description.slots();
        double ownMillis = waitMillis(ownOutstanding, (double) ownWorkMillis / slots);
        int dispatchedSince = Math.max(0, ownOutstanding - ownOutstandingAtReport);
        double workSinceMillis = Math.max(0, ownWorkMillis - ownWorkAtReportMillis);
        double reportedMillis =
                waitMillis(reportedOutstanding + dispatchedSince, reportedBacklogMillis + workSinceMillis / slots);
        if (reportedMillis <= ownMillis) {
            return (long) ownMillis;
        }
        long ageMillis = Math.max(0, nowMillis - reportedAtMillis);
        double weight = Math.pow(0.5, (double) ageMillis / REPORT_HALF_LIFE_MILLIS);
        return (long) Math.max(ownMillis, reportedMillis * weight);
    }

    /** Returns the wait behind n requests: a new one starts when all but slots - 1 of them have ended. */
    private double waitMillis(int outstanding, double workPerSlotMillis) {
        int slots = description.slots();
        return outstanding < slots ? 0 : workPerSlotMillis * (outstanding - slots + 1) / outstanding;
    }
}

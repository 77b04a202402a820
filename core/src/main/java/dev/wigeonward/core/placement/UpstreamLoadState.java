package dev.wigeonward.core.placement;

import com.google.common.base.Preconditions;

/**
 * Load of one upstream as seen by one entry: the exact outstanding work of this entry and the last load report of the
 * agent. Not thread-safe.
 */
public final class UpstreamLoadState {
    /** Half-life of the weight of a report, in milliseconds. */
    static final long REPORT_HALF_LIFE_MILLIS = 2_000;

    private final UpstreamDescription description;
    private long ownWorkMillis;
    private int ownOutstanding;
    private long reportedBacklogMillis;
    private int reportedOutstanding;
    private long reportedAtMillis;
    private long ownWorkAtReportMillis;
    private int ownOutstandingAtReport;

    private UpstreamLoadState(UpstreamDescription description) {
        this.description = description;
    }

    /** Returns the state of an upstream without load. */
    public static UpstreamLoadState of(UpstreamDescription description) {
        return new UpstreamLoadState(description);
    }

    /** Returns the description announced by the agent. */
    public UpstreamDescription description() {
        return description;
    }

    /** Records a dispatch with the given expected service time. */
    public void onDispatched(long serviceMillis) {
        ownWorkMillis += serviceMillis;
        ownOutstanding++;
    }

    /** Records the end of a dispatch; the expected service time must be the one passed at its start. */
    public void onEnded(long serviceMillis) {
        Preconditions.checkState(
                ownOutstanding > 0,
                "upstream %s must have an outstanding dispatch but has none",
                description.upstreamId());
        ownWorkMillis -= serviceMillis;
        ownOutstanding--;
    }

    /** Replaces the last load report. */
    public void onReport(LoadReport report, long nowMillis) {
        reportedBacklogMillis = report.backlogMillis();
        reportedOutstanding = report.running() + report.queued();
        reportedAtMillis = nowMillis;
        ownWorkAtReportMillis = ownWorkMillis;
        ownOutstandingAtReport = ownOutstanding;
    }

    /** Returns the number of outstanding requests of this entry. */
    public int ownOutstanding() {
        return ownOutstanding;
    }

    /** Returns the total expected service time of the outstanding requests of this entry, in milliseconds. */
    public long ownWorkMillis() {
        return ownWorkMillis;
    }

    /**
     * Returns the expected time before a new request starts, in milliseconds; 0 while a slot is expected to be free.
     *
     * <p>The result is the larger of two estimates: the wait computed from this entry's outstanding work, and the wait
     * computed from the report and the dispatches since. The weight of the second one decays with the age of the
     * report. The reported number of requests does not decay, because a decaying number would make a full upstream look
     * free.
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

    /** Returns the wait behind the outstanding requests: a new one starts when all but slots - 1 of them have ended. */
    private double waitMillis(int outstanding, double workPerSlotMillis) {
        int slots = description.slots();
        return outstanding < slots ? 0 : workPerSlotMillis * (outstanding - slots + 1) / outstanding;
    }
}

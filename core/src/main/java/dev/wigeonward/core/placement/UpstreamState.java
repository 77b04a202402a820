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
    private long reportedAtMillis;

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
        reportedAtMillis = nowMillis;
    }

    /** Returns the number of own requests that have not ended. */
    public int ownOutstanding() {
        return ownOutstanding;
    }

    /**
     * Returns the expected time before a new request starts, in milliseconds: the larger of the own outstanding work
     * over the slots and the faded report.
     */
    public long waitMillis(long nowMillis) {
        long ownMillis = ownOutstanding < description.slots() ? 0 : ownWorkMillis / description.slots();
        long ageMillis = Math.max(0, nowMillis - reportedAtMillis);
        double weight = Math.pow(0.5, (double) ageMillis / REPORT_HALF_LIFE_MILLIS);
        return Math.max(ownMillis, (long) (reportedBacklogMillis * weight));
    }
}

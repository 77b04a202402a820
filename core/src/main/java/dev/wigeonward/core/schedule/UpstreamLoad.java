package dev.wigeonward.core.schedule;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/** State of one upstream as seen by this entry: own requests, load reported by peers, speed and failures. */
public final class UpstreamLoad {
    /** Weight of a new observation in the unit time; a five-fold slowdown is tracked within five observations. */
    private static final double UNIT_SMOOTHING_FACTOR = 0.25;
    /** Largest factor by which one observation may differ from the estimate; limits the effect of an outlier. */
    private static final double MAX_STEP_FACTOR = 4.0;

    /** Relative change of the unit time above which it is reported to other entries again. */
    private static final double REPORT_THRESHOLD = 0.15;

    /** Weight of one outcome in the failure ratio. */
    private static final double FAILURE_SMOOTHING_FACTOR = 0.1;

    private Upstream upstream;
    private final Set<ScheduledRequest> running = new LinkedHashSet<>();
    private int peerRunning;
    private long peerPromptTokens;
    private OptionalDouble unitTimeMillis = OptionalDouble.empty();
    private OptionalDouble reportedUnitTimeMillis = OptionalDouble.empty();
    private long unitTimeObservedAtMillis = Long.MIN_VALUE;
    private double failureRatio;
    private boolean suspended;
    private boolean usable;
    private boolean cold;
    private long pausedUntilMillis = Long.MIN_VALUE;
    private boolean leaving;
    /** Whether the evacuation of its zone has ended since {@link #takeEvacuationEnded} was last called. */
    private boolean evacuationEnded;

    private long askedUntilMillis = Long.MIN_VALUE;
    /** Whether the upstream asked for time and has not answered a request since that time was over. */
    private boolean returning;

    private long lastOutputAtMillis = Long.MIN_VALUE;
    private long lastEndedAtMillis = Long.MIN_VALUE / 2;

    UpstreamLoad(Upstream upstream) {
        this.upstream = upstream;
    }

    /** Returns the description of the upstream. */
    public Upstream upstream() {
        return upstream;
    }

    void setUpstream(Upstream newUpstream) {
        evacuationEnded |= upstream.evacuated() && !newUpstream.evacuated();
        upstream = newUpstream;
    }

    void add(ScheduledRequest request) {
        running.add(request);
    }

    void remove(ScheduledRequest request, long nowMillis) {
        if (running.remove(request)) {
            lastEndedAtMillis = nowMillis;
        }
    }

    /** Returns the time at which a request of this entry last ended here, or the lowest value if none has. */
    long lastEndedAtMillis() {
        return lastEndedAtMillis;
    }

    Set<ScheduledRequest> running() {
        return running;
    }

    /** Replaces the load that other entries reported for this upstream. */
    void setPeerLoad(int requests, long promptTokens) {
        peerRunning = requests;
        peerPromptTokens = promptTokens;
    }

    /** Returns the number of requests that all entries together have at this upstream. */
    public int outstanding() {
        return running.size() + peerRunning;
    }

    /** Returns the prompt tokens of all entries whose prefill has not finished, as far as known. */
    public long pendingPromptTokens() {
        return ownPendingPromptTokens() + peerPromptTokens;
    }

    /** Returns the prompt tokens of this entry's requests whose first event has not arrived. */
    long ownPendingPromptTokens() {
        long tokens = 0;
        for (ScheduledRequest request : running) {
            tokens += request.pendingPromptTokens();
        }
        return tokens;
    }

    /** Returns the estimated time per event or plain call at this upstream, or empty before the first observation. */
    OptionalDouble unitTimeMillis() {
        return unitTimeMillis;
    }

    /** Updates the unit time with an observation of this entry, unless the upstream is cold. */
    void observeUnitTime(double observedMillis, long nowMillis) {
        if (cold) {
            return;
        }
        unitTimeObservedAtMillis = nowMillis;
        if (unitTimeMillis.isEmpty()) {
            unitTimeMillis = OptionalDouble.of(observedMillis);
            return;
        }
        double previous = unitTimeMillis.getAsDouble();
        double bounded = Math.max(previous / MAX_STEP_FACTOR, Math.min(previous * MAX_STEP_FACTOR, observedMillis));
        unitTimeMillis = OptionalDouble.of(previous + UNIT_SMOOTHING_FACTOR * (bounded - previous));
    }

    /**
     * Replaces the unit time by the estimate of another entry if that estimate is newer. An adopted estimate counts as
     * reported, so that two entries do not report it back to each other.
     */
    void adoptUnitTime(double reportedMillis, long observedAtMillis) {
        if (observedAtMillis > unitTimeObservedAtMillis) {
            unitTimeObservedAtMillis = observedAtMillis;
            unitTimeMillis = OptionalDouble.of(reportedMillis);
            reportedUnitTimeMillis = unitTimeMillis;
        }
    }

    /** Returns the unit time with its age, or empty before the first observation. */
    Optional<ObservedUnitTime> observedUnitTime(long nowMillis) {
        return unitTimeMillis.isEmpty()
                ? Optional.empty()
                : Optional.of(new ObservedUnitTime(
                        upstream.lifetimeId(), unitTimeMillis.getAsDouble(), nowMillis - unitTimeObservedAtMillis));
    }

    /** Returns the unit time if it differs notably from the last reported one, and marks it as reported. */
    Optional<ObservedUnitTime> takeChangedUnitTime(long nowMillis) {
        boolean unchanged = reportedUnitTimeMillis.isPresent()
                && unitTimeMillis.isPresent()
                && Math.abs(unitTimeMillis.getAsDouble() - reportedUnitTimeMillis.getAsDouble())
                        <= REPORT_THRESHOLD * reportedUnitTimeMillis.getAsDouble();
        if (unchanged) {
            return Optional.empty();
        }
        reportedUnitTimeMillis = unitTimeMillis;
        return observedUnitTime(nowMillis);
    }

    /** Returns the fraction of recent requests that failed, from 0 to 1. */
    public double failureRatio() {
        return failureRatio;
    }

    void onSuccess() {
        failureRatio *= 1 - FAILURE_SMOOTHING_FACTOR;
    }

    void onFailure() {
        failureRatio += FAILURE_SMOOTHING_FACTOR * (1 - failureRatio);
    }

    void onOutput(long nowMillis) {
        lastOutputAtMillis = nowMillis;
    }

    long lastOutputAtMillis() {
        return lastOutputAtMillis;
    }

    /** Sets whether the upstream may be chosen in the current scheduling round. */
    void setUsable(boolean nowUsable) {
        usable = nowUsable;
    }

    boolean usable() {
        return usable;
    }

    /** Sets whether the upstream counts as cold. */
    void setCold(boolean nowCold) {
        cold = nowCold;
    }

    /** Returns whether the upstream counted as cold in the last scheduling round. */
    boolean cold() {
        return cold;
    }

    /** Excludes the upstream from placement until {@link #resume} is called. */
    void suspend() {
        suspended = true;
    }

    void resume() {
        suspended = false;
    }

    boolean suspended() {
        return suspended;
    }

    /** Returns the state as one line of a dump. */
    String dumpLine(double slowness, long nowMillis) {
        return "%s %s zone=%s version=%s running=%d outstanding=%d slots=%d slowness=%.2f%s failures=%.2f%s"
                .formatted(
                        upstream.id(),
                        upstream.address(),
                        upstream.zone(),
                        upstream.version(),
                        running.size(),
                        outstanding(),
                        upstream.slots(),
                        slowness,
                        observedUnitTime(nowMillis)
                                .map(unitTime -> " unit_ms=%.1f learned_ms_ago=%d"
                                        .formatted(unitTime.unitTimeMillis(), unitTime.ageMillis()))
                                .orElse(""),
                        failureRatio,
                        state(nowMillis));
    }

    private String state(long nowMillis) {
        if (upstream.draining()) {
            return " draining";
        }
        if (leaving) {
            return " leaving";
        }
        if (upstream.evacuated()) {
            return " evacuated";
        }
        if (askedForMillis(nowMillis) > 0) {
            return " asked_for_ms=" + askedForMillis(nowMillis);
        }
        return paused(nowMillis) ? " paused" : "";
    }

    /** Returns whether the upstream may get new requests: it is not leaving and its zone is not evacuated. */
    boolean accepting() {
        return !isLeaving() && !upstream.evacuated();
    }

    /** Returns whether its entry or an answer states that it is leaving. */
    boolean isLeaving() {
        return leaving || upstream.draining();
    }

    /** Returns whether the evacuation of its zone has ended since the last call, so that it is idle and may be cold. */
    boolean takeEvacuationEnded() {
        boolean ended = evacuationEnded;
        evacuationEnded = false;
        return ended;
    }

    /** Marks this lifetime as leaving, which lasts until it ends, and returns whether it was not marked before. */
    boolean markLeaving() {
        boolean changed = !leaving;
        leaving = true;
        return changed;
    }

    /**
     * Excludes the upstream from placement until the given time. Each statement of the upstream holds, so that a later
     * one never shortens the time. Returns whether the time has become longer.
     */
    boolean askForTime(long untilMillis) {
        if (untilMillis <= askedUntilMillis) {
            return false;
        }
        askedUntilMillis = untilMillis;
        returning = true;
        return true;
    }

    /** Returns the time that is left of the time for which the upstream asked. */
    long askedForMillis(long nowMillis) {
        return nowMillis < askedUntilMillis ? askedUntilMillis - nowMillis : 0;
    }

    /** Returns whether the upstream may get one request at a time only, which shows whether it takes requests again. */
    boolean returning() {
        return returning;
    }

    /** Returns whether a request of this entry was placed after the time for which the upstream asked. */
    boolean probing() {
        return running.stream().anyMatch(request -> request.placedAtMillis() >= askedUntilMillis);
    }

    /** Returns whether the upstream has not asked for time, or may get the request that shows that it is back. */
    boolean takesRequests(long nowMillis) {
        return askedForMillis(nowMillis) == 0 && !(returning && probing());
    }

    /** Records that the upstream answers a request. */
    void onAnswering(ScheduledRequest request) {
        returning &= request.placedAtMillis() < askedUntilMillis;
    }

    /** Excludes the upstream from placement for the given time. */
    void pauseFor(long millis, long nowMillis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, nowMillis + millis);
    }

    /** Returns whether the upstream is excluded from placement, until it is resumed or for a limited time. */
    boolean paused(long nowMillis) {
        return suspended || nowMillis < pausedUntilMillis || nowMillis < askedUntilMillis;
    }
}

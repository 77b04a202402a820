package dev.wigeonward.core.schedule;

import java.util.Collection;

/**
 * Model of the service times of a typical upstream: the time per unit of work, which is an event of a stream or a plain
 * call, and the time to the first event as a linear function of the prompt tokens. The unit time is the median over the
 * upstreams. The time to the first event is fitted to observed times, each divided by the slowness of its upstream. Not
 * thread-safe.
 */
public final class ServiceTimeModel {
    /** Output is overdue after this time plus {@link #OVERDUE_FACTOR} times the expected time. */
    private static final long MIN_OVERDUE_MILLIS = 400;

    private static final double OVERDUE_FACTOR = 4.0;

    /** Factor applied to the weight of earlier observations at each new one; the average spans about 100 answers. */
    private static final double DECAY_FACTOR = 0.99;

    /** Initial estimates, in milliseconds; they only serve to rank requests until a few answers have been observed. */
    private static final double FIRST_EVENT_PRIOR_MILLIS = 20;

    private static final double FIRST_EVENT_PER_TOKEN_PRIOR_MILLIS = 0.015;
    private static final double PRIOR_TOKENS = 8_000;
    private static final double PRIOR_WEIGHT = 3;
    /** Largest factor by which one observation may differ from the estimate; limits the effect of an outlier. */
    private static final double MAX_STEP_FACTOR = 2.5;

    private static final double UNIT_TIME_PRIOR_MILLIS = 20;
    private static final double MIN_PER_TOKEN_MILLIS = 0.000_5;
    /** Initial estimate of the events per output token: engines commonly send a few tokens in one event. */
    private static final double EVENTS_PER_TOKEN_PRIOR = 0.25;

    private static final double EVENTS_PRIOR = 50;
    /** Slowness that is expected of a cold upstream; its observed times say nothing about it once it is warm. */
    private static final double COLD_SLOWNESS = 3;

    private double weight;
    private double sumTokens;
    private double sumMillis;
    private double sumTokensSquared;
    private double sumTokensMillis;
    private double firstEventMillis = FIRST_EVENT_PRIOR_MILLIS;
    private double perTokenMillis = FIRST_EVENT_PER_TOKEN_PRIOR_MILLIS;
    private double unitTimeMillis = UNIT_TIME_PRIOR_MILLIS;
    private double observedEvents = EVENTS_PRIOR;
    private double observedTokens = EVENTS_PRIOR / EVENTS_PER_TOKEN_PRIOR;

    ServiceTimeModel() {
        add(0, FIRST_EVENT_PRIOR_MILLIS, PRIOR_WEIGHT);
        add(PRIOR_TOKENS, FIRST_EVENT_PRIOR_MILLIS + PRIOR_TOKENS * FIRST_EVENT_PER_TOKEN_PRIOR_MILLIS, PRIOR_WEIGHT);
    }

    /** Returns the typical time to the first event of a stream with the given prompt tokens, in milliseconds. */
    public double firstEventMillis(long promptTokens) {
        return firstEventMillis + perTokenMillis * promptTokens;
    }

    /** Returns the typical time to read one prompt token, in milliseconds. */
    public double perTokenMillis() {
        return perTokenMillis;
    }

    /** Returns the typical time between two events, or of a plain call, in milliseconds. */
    public double unitTimeMillis() {
        return unitTimeMillis;
    }

    /** Updates the linear fit with a time to the first event that is normalized by the slowness of its upstream. */
    void observeFirstEvent(long promptTokens, double observedNormalizedMillis) {
        double expected = firstEventMillis(promptTokens);
        double normalizedMillis =
                Math.max(expected / MAX_STEP_FACTOR, Math.min(expected * MAX_STEP_FACTOR, observedNormalizedMillis));
        weight *= DECAY_FACTOR;
        sumTokens *= DECAY_FACTOR;
        sumMillis *= DECAY_FACTOR;
        sumTokensSquared *= DECAY_FACTOR;
        sumTokensMillis *= DECAY_FACTOR;
        add(promptTokens, normalizedMillis, 1);
        double denominator = weight * sumTokensSquared - sumTokens * sumTokens;
        if (denominator <= 0) {
            return;
        }
        double slope = (weight * sumTokensMillis - sumTokens * sumMillis) / denominator;
        perTokenMillis = Math.max(MIN_PER_TOKEN_MILLIS, slope);
        firstEventMillis = Math.max(1, (sumMillis - perTokenMillis * sumTokens) / weight);
    }

    /**
     * Returns the expected number of events for an estimate of the output tokens, or a default if the estimate is 0.
     */
    double expectedEvents(double expectedTokens) {
        return expectedTokens > 0 ? expectedTokens * observedEvents / observedTokens : EVENTS_PRIOR;
    }

    /** Updates the ratio of events to estimated output tokens. */
    void observeLength(double expectedTokens, long events) {
        if (expectedTokens <= 0) {
            return;
        }
        observedEvents = DECAY_FACTOR * observedEvents + events;
        observedTokens = DECAY_FACTOR * observedTokens + expectedTokens;
    }

    private void add(double tokens, double millis, double sampleWeight) {
        weight += sampleWeight;
        sumTokens += sampleWeight * tokens;
        sumMillis += sampleWeight * millis;
        sumTokensSquared += sampleWeight * tokens * tokens;
        sumTokensMillis += sampleWeight * tokens * millis;
    }

    /** Sets the typical unit time to the median of the estimated unit times of all upstreams, if there are any. */
    void updateUnitTimeMillis(Collection<UpstreamLoad> upstreams) {
        double[] sortedMillis = upstreams.stream()
                .filter(load -> load.unitTimeMillis().isPresent())
                .mapToDouble(load -> load.unitTimeMillis().getAsDouble())
                .sorted()
                .toArray();
        if (sortedMillis.length > 0) {
            unitTimeMillis = sortedMillis[(sortedMillis.length - 1) / 2];
        }
    }

    /** Returns the expected time from sending a placed request to the end of its answer, in milliseconds. */
    public double expectedMillis(ScheduledRequest request) {
        double eventsMillis = request.isStreaming() ? request.expectedEvents() * unitTimeMillis : 0;
        return request.relativeSlownessAtPlacement() * (request.typicalResponseMillis() + eventsMillis);
    }

    /**
     * Returns the unit time of an upstream relative to the typical one; 1 for an upstream without observations, and
     * more for a cold one.
     */
    public double slowness(UpstreamLoad load) {
        double slowness = load.unitTimeMillis().orElse(unitTimeMillis) / unitTimeMillis;
        return load.cold() ? Math.max(COLD_SLOWNESS, slowness) : slowness;
    }

    /** Returns whether output for a request of this entry is overdue, so that the upstream may have stopped. */
    boolean hasOverdueOutput(UpstreamLoad load, long nowMillis) {
        for (ScheduledRequest request : load.running()) {
            if (isOutputOverdue(request, load, nowMillis)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether output of a request is overdue, so that its upstream may have stopped. The entry that sent a
     * request judges this, because no other one learns of output after the first event.
     */
    boolean isOutputOverdue(ScheduledRequest request, UpstreamLoad load, long nowMillis) {
        if (request.isOfPeer() || request.outputSuspended()) {
            return false;
        }
        long since = Math.max(request.placedAtMillis(), load.lastOutputAtMillis());
        double expectedMillis = request.isStreaming() && !request.firstEventReceived()
                ? firstEventMillis(request.promptTokensAhead() + request.promptTokens())
                : unitTimeMillis();
        return nowMillis - since > MIN_OVERDUE_MILLIS + OVERDUE_FACTOR * slowness(load) * expectedMillis;
    }
}

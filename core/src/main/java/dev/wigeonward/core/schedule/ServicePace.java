package dev.wigeonward.core.schedule;

import java.util.Collection;

/**
 * What an upstream of usual speed needs: the time of a unit of work, which is an event of a stream or a plain call, and
 * the time to the first event by prompt tokens. The usual unit is the median over the upstreams; the time to the first
 * event is learned from answers, each divided by the slowness of its upstream. Not thread-safe.
 */
final class ServicePace {
    /** Weight of all earlier observations when one is added: the memory spans about a hundred answers. */
    private static final double MEMORY = 0.99;

    /** Beliefs before the first answer, in milliseconds; they only order requests until a few answers came. */
    private static final double FIRST_EVENT_PRIOR_MILLIS = 20;

    private static final double FIRST_EVENT_PER_TOKEN_PRIOR_MILLIS = 0.015;
    private static final double PRIOR_TOKENS = 8_000;
    private static final double PRIOR_WEIGHT = 3;
    /** Largest factor by which one observation differs from the belief; bounds the effect of one odd answer. */
    private static final double LARGEST_STEP = 2.5;

    private static final double UNIT_PRIOR_MILLIS = 20;
    private static final double LEAST_PER_TOKEN_MILLIS = 0.000_5;
    /** Events for each output token before the first answer: engines commonly send a few tokens in an event. */
    private static final double EVENTS_PER_TOKEN_PRIOR = 0.25;

    private static final double EVENTS_PRIOR = 50;

    private double weight;
    private double sumTokens;
    private double sumMillis;
    private double sumTokensSquared;
    private double sumTokensMillis;
    private double firstEventMillis = FIRST_EVENT_PRIOR_MILLIS;
    private double perTokenMillis = FIRST_EVENT_PER_TOKEN_PRIOR_MILLIS;
    private double unitMillis = UNIT_PRIOR_MILLIS;
    private double observedEvents = EVENTS_PRIOR;
    private double observedTokens = EVENTS_PRIOR / EVENTS_PER_TOKEN_PRIOR;

    ServicePace() {
        add(0, FIRST_EVENT_PRIOR_MILLIS, PRIOR_WEIGHT);
        add(PRIOR_TOKENS, FIRST_EVENT_PRIOR_MILLIS + PRIOR_TOKENS * FIRST_EVENT_PER_TOKEN_PRIOR_MILLIS, PRIOR_WEIGHT);
    }

    double firstEventMillis(long promptTokens) {
        return firstEventMillis + perTokenMillis * promptTokens;
    }

    double perTokenMillis() {
        return perTokenMillis;
    }

    /** Returns the usual time between two events, or of a plain call. */
    double unitMillis() {
        return unitMillis;
    }

    void learnFirstEvent(long promptTokens, double observedNormalizedMillis) {
        double expected = firstEventMillis(promptTokens);
        double normalizedMillis =
                Math.max(expected / LARGEST_STEP, Math.min(expected * LARGEST_STEP, observedNormalizedMillis));
        weight *= MEMORY;
        sumTokens *= MEMORY;
        sumMillis *= MEMORY;
        sumTokensSquared *= MEMORY;
        sumTokensMillis *= MEMORY;
        add(promptTokens, normalizedMillis, 1);
        double spread = weight * sumTokensSquared - sumTokens * sumTokens;
        if (spread <= 0) {
            return;
        }
        double slope = (weight * sumTokensMillis - sumTokens * sumMillis) / spread;
        perTokenMillis = Math.max(LEAST_PER_TOKEN_MILLIS, slope);
        firstEventMillis = Math.max(1, (sumMillis - perTokenMillis * sumTokens) / weight);
    }

    /** Returns how many events an answer has by an estimate of its tokens, or a usual answer if there is none. */
    double expectedEvents(double expectedTokens) {
        return expectedTokens > 0 ? expectedTokens * observedEvents / observedTokens : EVENTS_PRIOR;
    }

    void learnLength(double expectedTokens, long events) {
        if (expectedTokens <= 0) {
            return;
        }
        observedEvents = MEMORY * observedEvents + events;
        observedTokens = MEMORY * observedTokens + expectedTokens;
    }

    private void add(double tokens, double millis, double share) {
        weight += share;
        sumTokens += share * tokens;
        sumMillis += share * millis;
        sumTokensSquared += share * tokens * tokens;
        sumTokensMillis += share * tokens * millis;
    }

    /** Takes over the median of the learned unit times of all upstreams. */
    void usualUnit(Collection<UpstreamLoad> upstreams) {
        double[] units = upstreams.stream()
                .filter(load -> load.unitMillis().isPresent())
                .mapToDouble(load -> load.unitMillis().getAsDouble())
                .sorted()
                .toArray();
        if (units.length > 0) {
            unitMillis = units[(units.length - 1) / 2];
        }
    }

    /** Returns how many times as long an upstream takes as a usual one; 1 for one that has not answered yet. */
    double slowness(UpstreamLoad load) {
        return load.unitMillis().orElse(unitMillis) / unitMillis;
    }
}

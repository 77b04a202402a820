package dev.wigeonward.core.schedule;

/**
 * What an upstream of usual speed needs: time to the first event by prompt tokens, time between events, and time of a
 * plain call. Learned from answers, each divided by the slowness of its upstream. Not thread-safe.
 */
final class ServicePace {
    /** Weight of all earlier observations when one is added: the memory spans about a hundred answers. */
    private static final double MEMORY = 0.99;

    private static final double LEARNING_SHARE = 0.05;
    /** Beliefs before the first answer, in milliseconds; they only order requests until a few answers came. */
    private static final double FIRST_EVENT_PRIOR_MILLIS = 20;

    private static final double FIRST_EVENT_PER_TOKEN_PRIOR_MILLIS = 0.015;
    private static final double PRIOR_TOKENS = 8_000;
    private static final double PRIOR_WEIGHT = 3;
    private static final double PAUSE_PRIOR_MILLIS = 25;
    private static final double CALL_PRIOR_MILLIS = 20;
    private static final double LEAST_PER_TOKEN_MILLIS = 0.000_5;

    private double weight;
    private double sumTokens;
    private double sumMillis;
    private double sumTokensSquared;
    private double sumTokensMillis;
    private double firstEventMillis = FIRST_EVENT_PRIOR_MILLIS;
    private double perTokenMillis = FIRST_EVENT_PER_TOKEN_PRIOR_MILLIS;
    private double pauseMillis = PAUSE_PRIOR_MILLIS;
    private double callMillis = CALL_PRIOR_MILLIS;

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

    double pauseMillis() {
        return pauseMillis;
    }

    double callMillis() {
        return callMillis;
    }

    void learnFirstEvent(long promptTokens, double normalizedMillis) {
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

    private void add(double tokens, double millis, double share) {
        weight += share;
        sumTokens += share * tokens;
        sumMillis += share * millis;
        sumTokensSquared += share * tokens * tokens;
        sumTokensMillis += share * tokens * millis;
    }

    void learnPause(double normalizedMillis) {
        pauseMillis += LEARNING_SHARE * (normalizedMillis - pauseMillis);
    }

    void learnCall(double normalizedMillis) {
        callMillis += LEARNING_SHARE * (normalizedMillis - callMillis);
    }
}

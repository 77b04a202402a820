package dev.wigeonward.core.rollout;

/**
 * Plan of the shares of a service rollout, so that a bad version stays within the exposure limit. The new version first
 * gets a canary share, and then all requests for a short time: a version may be bad only under the load that it has
 * after the rollout, when the old version is gone. The length of that load test is what the limit leaves.
 */
final class LoadTestPlan {
    /** Canary share until the rate of requests is known, in 1/10,000. */
    private static final int FIRST_CANARY_BASIS_POINTS = 500;
    /** Smallest canary share, in 1/10,000. */
    private static final int MIN_CANARY_BASIS_POINTS = 100;
    /** Largest canary share, in 1/10,000. */
    private static final int MAX_CANARY_BASIS_POINTS = 2_000;
    /** Fraction of the limit that the canary share may use up to the deadline. */
    private static final double CANARY_LIMIT_FRACTION = 0.35;
    /** Requests per millisecond that are enough for a canary; a larger share is needed only where traffic is low. */
    private static final double CANARY_RATE = 0.01;
    /** Time after which the rate of requests is known well enough to choose the canary share. */
    private static final long RATE_KNOWN_MILLIS = 1_000;
    /** Time within which the entries notice the end of a load test. */
    private static final long REACTION_MILLIS = 100;
    /** Fraction of the average rate that is expected up to the deadline. */
    private static final double EXPECTED_RATE_FRACTION = 0.8;
    /** Maximum length of a load test as a fraction of the time from start to deadline. */
    private static final double MAX_LOAD_TEST_TIME_FRACTION = 0.12;
    /** Minimum length of a load test; in a shorter one upstreams do not reach their load. */
    private static final long MIN_LOAD_TEST_MILLIS = 200;

    /** Maximum fraction of the time from start to deadline for which the answers of a load test are awaited. */
    private static final double REVIEW_TIME_FRACTION = 0.15;

    private static final long MAX_REVIEW_MILLIS = 2_000;

    private final RolloutOrder order;
    private final ExposureLimit limit;

    LoadTestPlan(RolloutOrder order, ExposureLimit limit) {
        this.order = order;
        this.limit = limit;
    }

    /**
     * Returns the canary share, in 1/10,000. It is larger where traffic is low, because the margin of the limit then
     * allows it.
     */
    int canaryBasisPoints(RolloutTraffic traffic, long nowMillis) {
        double rate = traffic.averageRate(nowMillis);
        if (nowMillis - order.startMillis() < RATE_KNOWN_MILLIS || rate == 0) {
            return FIRST_CANARY_BASIS_POINTS;
        }
        double expected = expectedRequests(traffic, nowMillis);
        double share = Math.min(CANARY_RATE / rate, CANARY_LIMIT_FRACTION * limit.allowedRequests(expected) / expected);
        long basisPoints = Math.round(share * Stage.ALL_BASIS_POINTS);
        return (int) Math.max(MIN_CANARY_BASIS_POINTS, Math.min(MAX_CANARY_BASIS_POINTS, basisPoints));
    }

    /** Returns the length of a load test that starts now, or 0 if the limit leaves no room for one. */
    long loadTestMillis(RolloutTraffic traffic, long nowMillis) {
        double rate = Math.max(traffic.recentRate(nowMillis), traffic.averageRate(nowMillis));
        if (rate == 0) {
            return 0;
        }
        double canaryRate = rate * canaryBasisPoints(traffic, nowMillis) / Stage.ALL_BASIS_POINTS;
        double left = limit.allowedRequests(expectedRequests(traffic, nowMillis))
                - traffic.targetRequests()
                - rate * REACTION_MILLIS
                - canaryRate * reviewMillis();
        long maxMillis = (long) (MAX_LOAD_TEST_TIME_FRACTION * lengthMillis());
        long millis = Math.min(maxMillis, (long) (left / rate));
        return millis < MIN_LOAD_TEST_MILLIS ? 0 : millis;
    }

    /** Returns the time for which the answers of a load test are awaited. */
    long reviewMillis() {
        return Math.min(MAX_REVIEW_MILLIS, (long) (REVIEW_TIME_FRACTION * lengthMillis()));
    }

    private long lengthMillis() {
        return order.deadlineMillis() - order.startMillis();
    }

    /** Returns a cautious estimate of the requests that the service gets from the start to the deadline. */
    private double expectedRequests(RolloutTraffic traffic, long nowMillis) {
        long leftMillis = Math.max(0, order.deadlineMillis() - nowMillis);
        return traffic.totalRequests() + EXPECTED_RATE_FRACTION * traffic.averageRate(nowMillis) * leftMillis;
    }
}

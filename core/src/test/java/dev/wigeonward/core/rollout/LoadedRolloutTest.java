package dev.wigeonward.core.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulations of rollouts of versions that are bad only under the load which they have after the rollout. */
class LoadedRolloutTest {
    private static final int SEEDS = 100;

    /** Guards against a version that is completed although it fails under the load of all requests. */
    @ParameterizedTest
    @CsvSource({"300, 1, 200", "300, 2, 200", "300, 3, 150", "90, 1, 45", "90, 3, 45", "1000, 2, 500"})
    void versionThatFailsUnderFullLoadIsReverted(int requestsPerSecond, int routes, int loadLimit) {
        for (int seed = 0; seed < SEEDS; seed++) {
            Simulation run = new Simulation(seed, requestsPerSecond, routes);
            run.failsFrom(loadLimit, 0.5);
            run.play();
            run.assertReverted();
        }
    }

    /** Guards against a version that is completed because only one of its routes fails under load. */
    @Test
    void versionThatFailsOnOneRouteUnderFullLoadIsReverted() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Simulation run = new Simulation(seed, 300, 3);
            run.failsFrom(150, 0.5);
            run.failsOnlyOnRoute(1);
            run.play();
            run.assertReverted();
        }
    }

    /** Guards against a version that is completed although it is slow under the load of all requests. */
    @Test
    void versionThatIsSlowUnderFullLoadIsReverted() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Simulation run = new Simulation(seed, 300, 2);
            run.slowFrom(150, 4);
            run.play();
            run.assertReverted();
        }
    }

    /** Guards against a good version that misses the deadline because of failures that each version has. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.002, 0.01})
    void goodVersionWithFewFailuresIsCompleted(double failureShare) {
        for (int requestsPerSecond : new int[] {30, 90, 300, 1_000}) {
            int reverted = 0;
            for (int seed = 0; seed < SEEDS; seed++) {
                Simulation run = new Simulation(seed, requestsPerSecond, 2);
                run.failsFrom(0, failureShare);
                run.play();
                reverted += run.rollout.state() == RolloutState.COMPLETED ? 0 : 1;
            }
            assertThat(reverted)
                    .as("at %d requests per second", requestsPerSecond)
                    .isLessThanOrEqualTo(SEEDS / 50);
        }
    }

    /** Guards against a controller that repeats the load test of its predecessor, beyond the exposure limit. */
    @ParameterizedTest
    @ValueSource(longs = {6_100, 6_500, 7_500, 9_000})
    void exposureHoldsWhenTheControllerIsReplaced(long replacedMillis) {
        for (int seed = 0; seed < SEEDS; seed++) {
            Simulation run = new Simulation(seed, 300, 2);
            run.failsFrom(200, 0.5);
            run.replacedMillis = replacedMillis;
            run.play();
            run.assertReverted();
        }
    }

    /** Guards against a rollout that is never completed because the controller is replaced during the load test. */
    @ParameterizedTest
    @ValueSource(longs = {6_100, 6_500, 7_500, 9_000})
    void goodVersionIsCompletedWhenTheControllerIsReplaced(long replacedMillis) {
        for (int seed = 0; seed < SEEDS; seed++) {
            Simulation run = new Simulation(seed, 300, 2);
            run.replacedMillis = replacedMillis;
            run.play();
            assertThat(run.rollout.state()).as("state with seed %d", seed).isEqualTo(RolloutState.COMPLETED);
        }
    }

    /** Guards against an order that stays completed although the version fails before the state could be stored. */
    @Test
    void completedVersionThatTurnsBadBeforeTheStateIsStoredIsReverted() {
        Simulation run = new Simulation(1, 300, 1);
        run.play();
        assertThat(run.rollout.state()).isEqualTo(RolloutState.COMPLETED);
        run.rollout.advance(true, 0, run.nowMillis);
        assertThat(run.rollout.state()).isEqualTo(RolloutState.REVERTED);
        assertThat(run.rollout.stage(1_000, run.nowMillis).shareBasisPoints()).isZero();
    }

    /**
     * Guards against an entry that does not hear of the end of a load test and sends all its requests to the version.
     */
    @Test
    void stageOfTheLoadTestExpiresWithIt() {
        Simulation run = new Simulation(1, 300, 1);
        run.stopAtLoadTest = true;
        run.play();
        Stage stage = run.rollout.stage(60_000, run.nowMillis);
        assertThat(stage.shareBasisPoints()).isEqualTo(Stage.ALL_BASIS_POINTS);
        assertThat(stage.leaseMillis()).isLessThan(1_100);
    }

    /** A rollout of 12 s with answers that are counted one tick after the requests were sent. */
    private static final class Simulation {
        private static final long LENGTH_MILLIS = 12_000;
        private static final long TICK_MILLIS = 100;
        private static final double[] TIMES = {0.6, 0.7, 0.8, 0.9, 1, 1, 1.1, 1.2, 1.3, 1.5};

        private final Random random;
        private final int requestsPerSecond;
        private final int routes;
        private final Supplier<ServiceRollout> start =
                () -> ServiceRollout.of(new RolloutOrder("s", "v2", 0, LENGTH_MILLIS, 1), new ExposureLimit(0.1, 50));
        private final Deque<Long> arrivals = new ArrayDeque<>();
        private final List<Counts> counts = new ArrayList<>();
        private int failureLoad = Integer.MAX_VALUE;
        private double failureShare;
        private int failingRoute = -1;
        private int slowLoad = Integer.MAX_VALUE;
        private double slowness = 1;
        private long replacedMillis = Long.MAX_VALUE;
        private boolean stopAtLoadTest;
        private ServiceRollout rollout = start.get();
        private long nowMillis;
        private long newRequests;
        private long allRequests;

        Simulation(int seed, int requestsPerSecond, int routes) {
            this.random = new Random(seed);
            this.requestsPerSecond = requestsPerSecond;
            this.routes = routes;
            for (int route = 0; route < routes; route++) {
                counts.add(new Counts("r" + route, "v1"));
                counts.add(new Counts("r" + route, "v2"));
            }
        }

        /** Lets requests of the new version fail while it has got more than the given number in the last second. */
        void failsFrom(int load, double share) {
            failureLoad = load;
            failureShare = share;
        }

        void failsOnlyOnRoute(int route) {
            failingRoute = route;
        }

        void slowFrom(int load, double factor) {
            slowLoad = load;
            slowness = factor;
        }

        void play() {
            ServiceRollout follower = start.get();
            boolean bad = false;
            while (nowMillis < LENGTH_MILLIS && rollout.state() == RolloutState.IN_PROGRESS) {
                nowMillis += TICK_MILLIS;
                counts.forEach(each -> {
                    each.reportTo(rollout, nowMillis);
                    each.reportTo(follower, nowMillis);
                });
                bad |= rollout.evaluate(nowMillis).isPresent();
                rollout.advance(bad, 0, nowMillis);
                follower.follow(Optional.of(rollout.stage(1_500, nowMillis)), nowMillis);
                if (nowMillis >= replacedMillis && rollout != follower) {
                    rollout = follower;

                    rollout.advance(bad, 0, nowMillis);
                }
                if (stopAtLoadTest && rollout.stage(1_500, nowMillis).shareBasisPoints() == Stage.ALL_BASIS_POINTS) {
                    return;
                }
                send(rollout.stage(1_500, nowMillis).shareBasisPoints());
            }
        }

        private void send(int shareBasisPoints) {
            long requests = requestsPerSecond * TICK_MILLIS / 1_000;
            for (int request = 0; request < requests; request++) {
                int route = random.nextInt(routes);
                boolean isNew = random.nextInt(Stage.ALL_BASIS_POINTS) < shareBasisPoints;
                allRequests++;
                if (!isNew) {
                    counts.get(2 * route).count(false, randomTime());
                    continue;
                }
                newRequests++;
                arrivals.add(nowMillis);
                while (nowMillis - arrivals.getFirst() >= 1_000) {
                    arrivals.removeFirst();
                }
                boolean mayFail = arrivals.size() > failureLoad && (failingRoute < 0 || failingRoute == route);
                double factor = arrivals.size() > slowLoad ? slowness : 1;
                counts.get(2 * route + 1).count(mayFail && random.nextDouble() < failureShare, factor * randomTime());
            }
        }

        private double randomTime() {
            return TIMES[random.nextInt(TIMES.length)];
        }

        void assertReverted() {
            assertThat(rollout.state()).isEqualTo(RolloutState.REVERTED);
            long allowed = (long) (0.1 * requestsPerSecond * LENGTH_MILLIS / 1_000 + 50);
            assertThat(newRequests).isLessThanOrEqualTo(allowed);
        }
    }

    /** Cumulative counters of a version on a route. */
    private static final class Counts {
        private final RouteLoadKey key;
        private final ModelVersion version;
        private final long[] times = new long[TimeHistogram.BUCKETS];
        private long requests;
        private long failures;

        Counts(String route, String version) {
            this.key = new RouteLoadKey(route, false);
            this.version = new ModelVersion("s", version);
        }

        void count(boolean failed, double time) {
            requests++;
            if (failed) {
                failures++;
                return;
            }
            times[TimeHistogram.bucketOf(time)]++;
        }

        void reportTo(ServiceRollout rollout, long nowMillis) {
            rollout.add(
                    new ControllerEvent.EvidenceReported(
                            "entry-1",
                            1,
                            version,
                            key,
                            new EvidenceCounters(requests, failures, TimeHistogram.of(times))),
                    nowMillis);
        }
    }
}

package dev.wigeonward.measure.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.core.schedule.Decision;
import dev.wigeonward.core.schedule.KeptPrompts;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.SchedulerPolicies;
import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.core.schedule.Upstream;
import dev.wigeonward.core.schedule.VersionRestriction;
import dev.wigeonward.core.schedule.order.KindOrder;
import dev.wigeonward.core.schedule.policies.DefaultSchedulerPolicies;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** JMH benchmark of a freed slot that is given to one of many waiting requests, while another one is queued. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class WaitingQueueBenchmark {
    private static final int UPSTREAMS = 40;
    private static final int SLOTS = 12;
    private static final int KINDS = 5;
    private static final int RANKS = 3;
    private static final int MAX_TOKENS = 8_000;
    /** Long enough that no request is refused during the benchmark. */
    private static final long OBJECTIVE_MILLIS = 1_000_000_000;

    /** Seed of the sizes and workspaces of the requests. */
    @Param("1")
    public long seed;

    /** Number of waiting requests. */
    @Param({"100", "10000"})
    public int waiting;

    /** Number of workspaces that share the upstreams; 0 for the order of arrival. */
    @Param({"0", "10", "300"})
    public int workspaces;

    private final Queue<ScheduledRequest> running = new ArrayDeque<>();
    private ServiceScheduler scheduler;
    private Random random;
    private long nowMillis;

    /** Fills the upstreams and the queue before the benchmark. */
    @Setup
    public void setUp() {
        random = new Random(seed);
        SchedulerPolicies policies = DefaultSchedulerPolicies.alone("z");
        scheduler = ServiceScheduler.create(
                workspaces == 0 ? policies : policies.withOrder(KindOrder.withShares(workspace -> {})),
                KeptPrompts.create(),
                VersionRestriction.NONE);
        List<Upstream> listed = new ArrayList<>();
        for (int number = 0; number < UPSTREAMS; number++) {
            listed.add(new Upstream(
                    "u" + number, "s", "10.0.0.1:" + (1 + number), "z", "v", SLOTS, false, Optional.of(1L)));
        }
        scheduler.setUpstreams(listed);
        for (int request = 0; request < waiting + UPSTREAMS * SLOTS; request++) {
            offer();
        }
        place();
    }

    private void offer() {
        int kind = random.nextInt(KINDS);
        scheduler.offer(ScheduledRequest.builder("kind" + kind, kind % RANKS, OBJECTIVE_MILLIS, nowMillis)
                .streaming(1 + random.nextInt(MAX_TOKENS), 1 + random.nextInt(MAX_TOKENS), 0)
                .spreadKey(random.nextLong())
                .workspace("w" + random.nextInt(Math.max(1, workspaces)), 1)
                .build());
    }

    private List<Decision> place() {
        List<Decision> decisions = scheduler.decide(nowMillis);
        for (Decision decision : decisions) {
            if (decision instanceof Decision.Placed placed) {
                scheduler.onFirstEvent(placed.request(), nowMillis);
                running.add(placed.request());
            }
        }
        return decisions;
    }

    /** Ends one request, queues another one and returns the decisions. */
    @Benchmark
    public List<Decision> decide() {
        nowMillis++;
        if (!running.isEmpty()) {
            scheduler.onEnded(running.remove(), ServiceScheduler.Outcome.ANSWERED, nowMillis);
            offer();
        }
        return place();
    }
}

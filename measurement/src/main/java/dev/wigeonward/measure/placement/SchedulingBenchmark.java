package dev.wigeonward.measure.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.core.schedule.Decision;
import dev.wigeonward.core.schedule.KeptPrompts;
import dev.wigeonward.core.schedule.PromptPrefix;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.core.schedule.Upstream;
import dev.wigeonward.core.schedule.policies.DefaultSchedulerPolicies;
import dev.wigeonward.core.suspect.SuspectPartListener;
import dev.wigeonward.core.suspect.SuspectPartTable;
import dev.wigeonward.core.suspect.UpstreamCrash;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** JMH benchmark of one decision of the direct path: queue a request, place it and record its end. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class SchedulingBenchmark {
    private static final int SLOTS = 10;
    private static final int SHARED_PARTS = 3;
    private static final int DIFFERENT_PARTS = 1_000;
    private static final long OBJECTIVE_MILLIS = 800;
    private static final long CRASH_DISTANCE_MILLIS = 1_000;
    private static final String VERSION = "v1";

    /** Seed of the parts of the prompts. */
    @Param("1")
    public long seed;

    /** Number of upstreams of the service. */
    @Param({"13", "40", "1000"})
    public int upstreams;

    /** Number of parts of prompts that are refused, none of which is in a request. */
    @Param({"0", "100"})
    public int refusedParts;

    private final SuspectPartTable suspectParts = SuspectPartTable.create(SuspectPartListener.NONE);
    private ServiceScheduler scheduler;
    private Random random;
    private long nowMillis;

    /** Creates the scheduler before the benchmark. */
    @Setup
    public void setUp() {
        random = new Random(seed);
        for (int part = 0; part < refusedParts; part++) {
            refuse(-1 - part);
        }
        scheduler = ServiceScheduler.create(
                DefaultSchedulerPolicies.alone("z"), KeptPrompts.create(), suspectParts::refusedVersions);
        List<Upstream> listed = new ArrayList<>();
        for (int number = 0; number < upstreams; number++) {
            listed.add(new Upstream(
                    "u" + number, "s", "10.0.0.1:" + (1 + number), "z", VERSION, SLOTS, false, Optional.of(1L)));
        }
        scheduler.setUpstreams(listed);
    }

    private void refuse(long part) {
        for (int crash = 0; crash < SHARED_PARTS; crash++) {
            nowMillis += CRASH_DISTANCE_MILLIS;
            UpstreamCrash ended = new UpstreamCrash("crashed" + nowMillis, nowMillis, 0);
            suspectParts.onUpstreamCrashed(List.of(part), VERSION, ended, nowMillis);
            suspectParts.onAnswering(List.of(), VERSION, nowMillis + 1, nowMillis + 1);
        }
    }

    /** Makes one decision and returns it. */
    @Benchmark
    public List<Decision> decide() {
        nowMillis++;
        List<Long> parts = new ArrayList<>();
        List<PromptPrefix> prefixes = new ArrayList<>();
        for (int index = 0; index < SHARED_PARTS; index++) {
            long part = random.nextInt(DIFFERENT_PARTS);
            parts.add(part);
            prefixes.add(new PromptPrefix(part, (1 + index) * SLOTS));
        }
        scheduler.offer(ScheduledRequest.builder("kind", 0, OBJECTIVE_MILLIS, nowMillis)
                .streaming(1_000, 100, 200)
                .deadlineAt(nowMillis + 10 * OBJECTIVE_MILLIS)
                .prefixes(prefixes)
                .sharedParts(parts)
                .build());
        List<Decision> decisions = scheduler.decide(nowMillis);
        for (Decision decision : decisions) {
            if (decision instanceof Decision.Placed placed) {
                scheduler.onEnded(placed.request(), ServiceScheduler.Outcome.ANSWERED, nowMillis);
            }
        }
        return decisions;
    }
}

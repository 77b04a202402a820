package dev.wigeonward.measure.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.core.coordination.CoordinationEffect;
import dev.wigeonward.core.coordination.CoordinatorMessage;
import dev.wigeonward.core.coordination.CoordinatorSide;
import dev.wigeonward.core.coordination.MemberMessage;
import dev.wigeonward.core.rollout.VersionConstraint;
import dev.wigeonward.core.schedule.Decision;
import dev.wigeonward.core.schedule.KeptPrompts;
import dev.wigeonward.core.schedule.PromptPrefix;
import dev.wigeonward.core.schedule.RequestDescription;
import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.core.schedule.ServiceScheduler.Outcome;
import dev.wigeonward.core.schedule.Upstream;
import dev.wigeonward.core.schedule.VersionRestriction;
import dev.wigeonward.core.schedule.policies.DefaultSchedulerPolicies;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** JMH benchmark of one decision of a coordinator whose upstreams are full and whose queue is long. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class CoordinationBenchmark {
    private static final String SERVICE = "s";
    private static final int UPSTREAMS = 40;
    private static final int SLOTS = 10;
    private static final int MEMBERS = 31;
    private static final int KINDS = 4;
    private static final int PROMPTS = 1_000;
    /** Long enough that no request is refused during the benchmark. */
    private static final long OBJECTIVE_MILLIS = 3_600_000;

    /** Seed of the prompts. */
    @Param("1")
    public long seed;

    /** Number of waiting requests. */
    @Param({"100", "10000"})
    public int waiting;

    private final Deque<Granted> granted = new ArrayDeque<>();
    private ServiceScheduler scheduler;
    private CoordinatorSide coordinator;
    private Random random;
    private long nowMillis;
    private long numbers;

    /** Fills the upstreams and the queue before the benchmark. */
    @Setup
    public void setUp() {
        random = new Random(seed);
        scheduler = ServiceScheduler.create(
                DefaultSchedulerPolicies.alone("z"), KeptPrompts.create(), VersionRestriction.NONE);
        List<Upstream> listed = new ArrayList<>();
        for (int number = 0; number < UPSTREAMS; number++) {
            listed.add(new Upstream(
                    "u" + number, SERVICE, "10.0.0.1:" + (1 + number), "z", "v", SLOTS, false, Optional.of(1L)));
        }
        scheduler.setUpstreams(listed);
        coordinator = CoordinatorSide.create(service -> scheduler, this::perform);
        for (int request = 0; request < UPSTREAMS * SLOTS + waiting; request++) {
            ask();
        }
        round();
    }

    private void perform(CoordinationEffect effect) {
        if (effect instanceof CoordinationEffect.ToMember sent
                && sent.message() instanceof CoordinatorMessage.Grant grant) {
            granted.add(new Granted(sent.entry(), grant.number()));
        }
    }

    private void ask() {
        numbers++;
        long prompt = random.nextInt(PROMPTS);
        RequestDescription request = new RequestDescription(
                "k" + numbers % KINDS,
                (int) (numbers % KINDS),
                "team",
                1,
                OBJECTIVE_MILLIS,
                0,
                0,
                OBJECTIVE_MILLIS,
                0,
                true,
                PROMPTS,
                100,
                List.of(new PromptPrefix(prompt, PROMPTS / 2), new PromptPrefix(-numbers, PROMPTS)),
                List.of(),
                prompt,
                Set.of(),
                Optional.empty(),
                VersionConstraint.NONE,
                "z");
        coordinator.onMessage("m" + numbers % MEMBERS, new MemberMessage.Ask(numbers, SERVICE, request), nowMillis);
    }

    private int round() {
        List<Decision> decisions = scheduler.decide(nowMillis);
        decisions.forEach(decision -> coordinator.onDecision(decision, nowMillis));
        return decisions.size();
    }

    /** Ends the oldest granted request, takes an ask and decides; returns the number of decisions. */
    @Benchmark
    public int decide() {
        nowMillis++;
        Granted oldest = granted.poll();
        if (oldest != null) {
            coordinator.onMessage(oldest.member, new MemberMessage.Progress(oldest.number), nowMillis);
            coordinator.onMessage(oldest.member, new MemberMessage.End(oldest.number, Outcome.ANSWERED), nowMillis);
        }
        ask();
        return round();
    }

    private record Granted(String member, long number) {}
}

package dev.wigeonward.measure.goodput;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import dev.wigeonward.core.dispatch.AgentEvent;
import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.request.EngineSpeed;

/** Simulates a workload on two entries and eight engines under a set of policies. */
final class GoodputSimulation {
    private static final int SLOTS = 16;
    /** Speed of each engine relative to the reference speed. */
    private static final double[] SPEED_FACTORS = {1.6, 1.6, 1, 1, 1, 1, 0.6, 0.6};

    /** Index of the engine that slows down halfway through the simulation without announcing it. */
    private static final int SLOWED_ENGINE = 2;

    private static final long SLOWED_FROM_MILLIS = Workload.DURATION_MILLIS / 2;
    private static final double SLOWED_FACTOR = 2;
    private static final long TICK_MILLIS = 100;
    private static final long REPORT_MILLIS = 1_000;
    /** Time after the last arrival for requests to end; longer than the longest deadline. */
    private static final long DRAIN_MILLIS = 400_000;

    private GoodputSimulation() {}

    /**
     * Returns the work that all engines together do in a second, in milliseconds of one slot at the reference speed.
     */
    static double capacityMillisPerSecond() {
        double capacity = 0;
        for (double factor : SPEED_FACTORS) {
            capacity += SLOTS * factor * 1_000;
        }
        return capacity;
    }

    /** Runs the jobs to their ends and returns the outcomes. */
    static OutcomeCounts run(PolicySet policySet, List<Job> jobs, long seed) {
        EventLoop loop = new EventLoop();
        OutcomeCounts counts = new OutcomeCounts();
        List<AgentNode> agents = new ArrayList<>();
        for (int i = 0; i < SPEED_FACTORS.length; i++) {
            UpstreamDescription description = description(i);
            SimulatedEngine engine =
                    new SimulatedEngine(description, SLOWED_FROM_MILLIS, i == SLOWED_ENGINE ? SLOWED_FACTOR : 1, loop);
            agents.add(new AgentNode(engine, policySet.engineQueue(description), loop, counts));
        }
        List<EntryNode> entries = new ArrayList<>();
        for (int i = 0; i < Workload.ENTRIES; i++) {
            RandomGenerator random =
                    RandomGeneratorFactory.of("L64X128MixRandom").create(seed + 1 + i);
            entries.add(new EntryNode(i, policySet, agents, random, loop, counts));
        }
        agents.forEach(agent -> agent.connect(entries));
        jobs.forEach(job ->
                loop.at(job.arrivalMillis(), () -> entries.get(job.entry()).arrive(job)));
        BooleanSupplier shouldContinue = () -> loop.nowMillis() < Workload.DURATION_MILLIS
                || counts.unresolvedCount() > 0 && loop.nowMillis() < Workload.DURATION_MILLIS + DRAIN_MILLIS;
        loop.every(TICK_MILLIS, shouldContinue, () -> {
            agents.forEach(agent -> agent.handle(new AgentEvent.Tick()));
            entries.forEach(entry -> entry.handle(new EntryEvent.Tick()));
        });
        loop.every(REPORT_MILLIS, shouldContinue, () -> agents.forEach(AgentNode::sendLoadReports));
        loop.run();
        return counts;
    }

    private static UpstreamDescription description(int index) {
        EngineSpeed speed =
                new EngineSpeed((int) (Workload.REFERENCE_SPEED.prefillTokensPerSecond() * SPEED_FACTORS[index]), (int)
                        (Workload.REFERENCE_SPEED.decodeTokensPerSecond() * SPEED_FACTORS[index]));
        return new UpstreamDescription("engine-" + index, 1, "model", "1", "domain", SLOTS, speed);
    }
}

package dev.wigeonward.measure.goodput;

import java.util.random.RandomGenerator;

import dev.wigeonward.core.admission.AdmissionQueue;
import dev.wigeonward.core.admission.FairShareAdmissionQueue;
import dev.wigeonward.core.admission.FifoAdmissionQueue;
import dev.wigeonward.core.admission.WorkspaceWeights;
import dev.wigeonward.core.engine.EngineLimits;
import dev.wigeonward.core.engine.EngineQueue;
import dev.wigeonward.core.engine.FifoEngineQueue;
import dev.wigeonward.core.engine.PriorityEngineQueue;
import dev.wigeonward.core.placement.DomainLatency;
import dev.wigeonward.core.placement.EarliestCompletion;
import dev.wigeonward.core.placement.LeastOutstanding;
import dev.wigeonward.core.placement.PlacementPolicy;
import dev.wigeonward.core.placement.PrefixIndex;
import dev.wigeonward.core.placement.RoundRobin;
import dev.wigeonward.core.placement.UpstreamDescription;

/** A combination of admission queue, placement policy and engine queue to compare with others. */
enum PolicySet {
    ROUND_ROBIN_FIFO("round robin + FIFO") {
        @Override
        PlacementPolicy placement(RandomGenerator random) {
            return RoundRobin.create();
        }
    },
    LEAST_OUTSTANDING_FIFO("least outstanding + FIFO") {
        @Override
        PlacementPolicy placement(RandomGenerator random) {
            return LeastOutstanding.create();
        }
    },
    FULL("full policy") {
        @Override
        AdmissionQueue admission() {
            return FairShareAdmissionQueue.create(ENTRY_CAPACITY, WorkspaceWeights.equal());
        }

        @Override
        PlacementPolicy placement(RandomGenerator random) {
            return EarliestCompletion.create(random, PrefixIndex.create(), DomainLatency.uniform("domain", 0));
        }

        @Override
        EngineQueue engineQueue(UpstreamDescription engine) {
            EngineLimits limits = new EngineLimits(
                    engine.slots(), engine.slots() * WORK_PER_SLOT_MILLIS, SHORT_REQUEST_MILLIS, AGENT_CAPACITY);
            return PriorityEngineQueue.create(limits, engine.speed(), WorkspaceWeights.equal());
        }
    };

    private static final int ENTRY_CAPACITY = 500;
    /** Capacity of an engine queue: four times the slots of an engine. */
    private static final int AGENT_CAPACITY = 64;

    /** Exceeds the longest request, which takes 85 s at the reference speed. */
    private static final long WORK_PER_SLOT_MILLIS = 100_000;
    /** Covers the largest size of the shortest class, three units, on the slowest engine. */
    private static final long SHORT_REQUEST_MILLIS = 5_000;

    private final String label;

    PolicySet(String label) {
        this.label = label;
    }

    /** Returns the name of the combination in reports. */
    String label() {
        return label;
    }

    /** Returns a new admission queue for an entry. */
    AdmissionQueue admission() {
        return FifoAdmissionQueue.withCapacity(ENTRY_CAPACITY);
    }

    /** Returns a new placement policy for an entry. */
    abstract PlacementPolicy placement(RandomGenerator random);

    /** Returns a new queue for the engine. */
    EngineQueue engineQueue(UpstreamDescription engine) {
        return FifoEngineQueue.create(engine.slots(), engine.speed(), AGENT_CAPACITY);
    }
}

package dev.wigeonward.measure;

import java.util.List;
import java.util.Optional;

import dev.wigeonward.measure.goodput.GoodputMeasurement;
import dev.wigeonward.measure.moves.EvaluatorMeasurement;
import dev.wigeonward.measure.moves.RolloutMeasurement;
import dev.wigeonward.measure.placement.CoordinatedDecisionMeasurement;
import dev.wigeonward.measure.placement.EntryDecisionMeasurement;
import dev.wigeonward.measure.placement.LinkSubsetMeasurement;
import dev.wigeonward.measure.placement.PlacementQualityMeasurement;
import dev.wigeonward.measure.placement.SchedulingDecisionMeasurement;
import dev.wigeonward.measure.placement.StateSizeMeasurement;
import dev.wigeonward.measure.placement.WaitingQueueMeasurement;
import dev.wigeonward.measure.process.ProcessLatencyMeasurement;
import dev.wigeonward.measure.revision.RevisionPropagationMeasurement;
import dev.wigeonward.measure.store.StoreCallsMeasurement;

/** Registry of all measurements. */
final class Measurements {
    private static final List<Measurement> ALL = List.of(
            new EntryDecisionMeasurement(),
            GoodputMeasurement.withDefaultLoads(),
            new EvaluatorMeasurement(),
            new LinkSubsetMeasurement(),
            new RolloutMeasurement(),
            new PlacementQualityMeasurement(),
            new ProcessLatencyMeasurement(),
            new RevisionPropagationMeasurement(),
            new SchedulingDecisionMeasurement(),
            new CoordinatedDecisionMeasurement(),
            new WaitingQueueMeasurement(),
            new StateSizeMeasurement(),
            new StoreCallsMeasurement());

    private Measurements() {}

    /** Returns all measurements in the order in which they are listed. */
    static List<Measurement> all() {
        return ALL;
    }

    /** Returns the measurement with the given name. */
    static Optional<Measurement> find(String name) {
        return ALL.stream()
                .filter(measurement -> measurement.name().equals(name))
                .findFirst();
    }
}

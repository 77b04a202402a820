package dev.wigeonward.measure;

import java.util.List;
import java.util.Optional;

import dev.wigeonward.measure.goodput.GoodputMeasurement;
import dev.wigeonward.measure.moves.JudgeMeasurement;
import dev.wigeonward.measure.moves.MovesMeasurement;
import dev.wigeonward.measure.placement.EntryDecision;
import dev.wigeonward.measure.placement.LinkSubsetSpread;
import dev.wigeonward.measure.placement.PlacementQuality;
import dev.wigeonward.measure.placement.StateBytes;
import dev.wigeonward.measure.process.ProcessLatency;
import dev.wigeonward.measure.revision.RevisionSpread;
import dev.wigeonward.measure.store.StoreCallsMeasurement;

/** Registry of all measurements. */
final class Measurements {
    private static final List<Measurement> ALL = List.of(
            new EntryDecision(),
            GoodputMeasurement.create(),
            new JudgeMeasurement(),
            new LinkSubsetSpread(),
            new MovesMeasurement(),
            new PlacementQuality(),
            new ProcessLatency(),
            new RevisionSpread(),
            new StateBytes(),
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

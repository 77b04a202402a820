package dev.wigeonward.measure;

import java.util.List;
import java.util.Optional;

import dev.wigeonward.measure.goodput.GoodputMeasurement;
import dev.wigeonward.measure.moves.JudgeMeasurement;
import dev.wigeonward.measure.moves.MovesMeasurement;
import dev.wigeonward.measure.placement.PlacementQuality;
import dev.wigeonward.measure.store.StoreCallsMeasurement;

/** The list of all measurements. */
final class Measurements {
    private static final List<Measurement> ALL = List.of(
            new GoodputMeasurement(),
            new PlacementQuality(),
            new RevisionSpread(),
            new StoreCallsMeasurement(),
            new JudgeMeasurement(),
            new MovesMeasurement());

    private Measurements() {}

    static List<Measurement> all() {
        return ALL;
    }

    static Optional<Measurement> find(String name) {
        return ALL.stream()
                .filter(measurement -> measurement.name().equals(name))
                .findFirst();
    }
}

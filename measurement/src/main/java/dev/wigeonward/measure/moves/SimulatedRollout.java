package dev.wigeonward.measure.moves;

import java.util.List;

import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerEvent;
import dev.wigeonward.core.rollout.ControllerStages;

/** A strategy that moves all requests to the new version. */
interface SimulatedRollout {
    /** Receives the events that agents report. */
    void report(List<ControllerEvent> events, long nowMillis);

    /** Advances to the given time and publishes stages and verdicts. */
    void step(long nowMillis, Publisher publisher);

    /** The recipient of the stages and verdicts that a rollout sends to the entries. */
    interface Publisher {
        void publish(ControllerStages stages);

        void publish(BadVerdict verdict);
    }
}

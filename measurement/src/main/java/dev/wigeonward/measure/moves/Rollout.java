package dev.wigeonward.measure.moves;

import java.util.List;

import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerEvent;
import dev.wigeonward.core.rollout.ControllerStages;

/** A way to bring the new version to all requests. */
interface Rollout {
    /** Takes what agents report. */
    void report(List<ControllerEvent> events, long nowMillis);

    /** Lets time pass and publishes stages and verdicts. */
    void step(long nowMillis, Publisher publisher);

    /** Receives what a rollout sends to the entries. */
    interface Publisher {
        void publish(ControllerStages stages);

        void publish(BadVerdict verdict);
    }
}

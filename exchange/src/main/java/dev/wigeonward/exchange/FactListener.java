package dev.wigeonward.exchange;

import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerStages;

/** Listener for facts that are new to this process. */
public interface FactListener {
    /** Called when a model version was found bad by a verdict. */
    void onBadVerdict(BadVerdict verdict);

    /** Called when the controller published newer stages. */
    void onStages(ControllerStages stages);
}

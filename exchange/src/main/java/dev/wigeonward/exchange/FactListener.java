package dev.wigeonward.exchange;

import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerStages;

/** Hears of facts that are new to this process. */
public interface FactListener {
    /** A version was shown to be bad. */
    void onVerdict(BadVerdict verdict);

    /** The controller published stages. */
    void onStages(ControllerStages stages);
}

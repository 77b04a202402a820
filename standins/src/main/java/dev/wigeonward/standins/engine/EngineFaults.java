package dev.wigeonward.standins.engine;

import com.google.common.base.Preconditions;

/**
 * Faults that can be injected at run time.
 *
 * @param slowFactor factor by which prefill and decoding are slowed down, 1 for none
 * @param failEvery every n-th request is answered with status 500, 0 for none
 * @param failAboveRunning minimum number of running streams at which requests fail
 */
record EngineFaults(double slowFactor, int failEvery, int failAboveRunning) {
    static final EngineFaults NONE = new EngineFaults(1, 0, 0);

    EngineFaults {
        Preconditions.checkArgument(slowFactor >= 1, "slowFactor is %s; expected at least 1", slowFactor);
        Preconditions.checkArgument(failEvery >= 0, "failEvery is %s; expected at least 0", failEvery);
        Preconditions.checkArgument(
                failAboveRunning >= 0, "failAboveRunning is %s; expected at least 0", failAboveRunning);
    }
}

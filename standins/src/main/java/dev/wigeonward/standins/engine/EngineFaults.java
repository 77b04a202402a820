package dev.wigeonward.standins.engine;

import com.google.common.base.Preconditions;

/**
 * Faults that can be switched on at run time.
 *
 * @param slowFactor factor on all times, 1 for none
 * @param failEvery every n-th request is answered with status 500, 0 for none
 * @param failAboveRunning requests fail only while more than so many streams run
 */
record EngineFaults(double slowFactor, int failEvery, int failAboveRunning) {
    static final EngineFaults NONE = new EngineFaults(1, 0, 0);

    EngineFaults {
        Preconditions.checkArgument(slowFactor >= 1, "slowFactor is %s", slowFactor);
        Preconditions.checkArgument(failEvery >= 0, "failEvery is %s", failEvery);
        Preconditions.checkArgument(failAboveRunning >= 0, "failAboveRunning is %s", failAboveRunning);
    }
}

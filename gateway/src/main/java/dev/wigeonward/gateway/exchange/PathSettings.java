package dev.wigeonward.gateway.exchange;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.rollout.ExposureLimit;

/**
 * Settings of the dispatcher: the failure domain of the process and the budgets that all entries share.
 *
 * @param zone failure domain of this process
 * @param retryRatio retries allowed per request of a service within a window
 * @param retryAllowance retries of a service allowed beyond the ratio within a window, by all entries together
 * @param retryWindowMillis window over which retries are counted
 * @param capWindowMillis window over which the overrun of usage caps is measured
 * @param capOverrunRatio fraction by which the usage in a window may exceed the cap, by all entries together
 * @param capMargin further usage that a workspace may have in a window beyond the cap and its overrun
 * @param exposureLimit limit of the requests that a bad version may get during its rollout
 * @param scheduling choice of the policies of the schedulers
 */
public record PathSettings(
        String zone,
        double retryRatio,
        double retryAllowance,
        long retryWindowMillis,
        long capWindowMillis,
        double capOverrunRatio,
        double capMargin,
        ExposureLimit exposureLimit,
        SchedulingSettings scheduling) {
    public PathSettings {
        Preconditions.checkArgument(
                retryWindowMillis > 0, "retryWindowMillis is %s, expected a positive number", retryWindowMillis);
        Preconditions.checkArgument(
                capWindowMillis > 0, "capWindowMillis is %s, expected a positive number", capWindowMillis);
    }
}

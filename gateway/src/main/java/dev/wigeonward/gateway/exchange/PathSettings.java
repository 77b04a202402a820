package dev.wigeonward.gateway.exchange;

import com.google.common.base.Preconditions;

/**
 * What a process on the direct path is told about its place and about the budgets that all entries share.
 *
 * @param zone failure domain of this process
 * @param retryRatio retries of a service allowed for each of its requests in a window
 * @param retryAllowance retries of a service allowed in a window beyond the ratio, by all entries together
 * @param capWindowMillis window over which usage caps are judged
 * @param capOverrunRatio part of a cap that may be exceeded in a window, by all entries together
 * @param capMargin usage beyond that which a tenant may have in a window
 */
public record PathSettings(
        String zone,
        double retryRatio,
        int retryAllowance,
        long retryWindowMillis,
        long capWindowMillis,
        double capOverrunRatio,
        long capMargin) {
    public PathSettings {
        Preconditions.checkArgument(retryWindowMillis > 0, "retryWindowMillis is %s", retryWindowMillis);
        Preconditions.checkArgument(capWindowMillis > 0, "capWindowMillis is %s", capWindowMillis);
    }
}

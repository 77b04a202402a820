package dev.wigeonward.core.rollout;

import com.google.common.base.Preconditions;

/**
 * Limit of the requests that a bad version may get between the order of a rollout and its deadline.
 *
 * @param shareRatio fraction of all requests of the service
 * @param marginRequests further requests, in addition to the fraction
 */
public record ExposureLimit(double shareRatio, double marginRequests) {
    /** Limit that applies if the operator states none. */
    public static final ExposureLimit DEFAULT = new ExposureLimit(0.1, 50);

    public ExposureLimit {
        Preconditions.checkArgument(
                shareRatio >= 0 && shareRatio <= 1, "shareRatio must be between 0 and 1, but is %s", shareRatio);
        Preconditions.checkArgument(
                marginRequests >= 0, "marginRequests must not be negative, but is %s", marginRequests);
    }

    /** Returns the number of requests that the version may get if the service gets the given number. */
    double allowedRequests(double totalRequests) {
        return shareRatio * totalRequests + marginRequests;
    }
}

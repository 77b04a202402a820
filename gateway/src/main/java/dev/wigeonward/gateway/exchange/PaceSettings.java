package dev.wigeonward.gateway.exchange;

import com.google.common.base.Preconditions;

/**
 * Settings of the pace of upstreams.
 *
 * @param enabled whether started and recovered upstreams are paced; the bounds of cold ones hold in any case
 * @param coldOverrunRatio factor on the requests that a cold upstream handles, up to which it may get them
 * @param coldMargin further requests that a cold upstream may get in a second
 */
public record PaceSettings(boolean enabled, double coldOverrunRatio, double coldMargin) {
    /** Settings without a pace, and with the strictest bounds. */
    public static final PaceSettings OFF = new PaceSettings(false, 1, 0);

    public PaceSettings {
        Preconditions.checkArgument(
                coldOverrunRatio >= 0 && coldMargin >= 0,
                "bounds are %s and %s, expected no negative number",
                coldOverrunRatio,
                coldMargin);
    }
}

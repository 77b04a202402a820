package dev.wigeonward.entry.caller;

import com.google.common.base.Preconditions;

/** Size limits of one request of a caller, in bytes. */
public record CallerLimits(int bodyBytes, int headersBytes) {
    public CallerLimits {
        Preconditions.checkArgument(bodyBytes > 0, "bodyBytes is %s, expected more than 0", bodyBytes);
        Preconditions.checkArgument(headersBytes > 0, "headersBytes is %s, expected more than 0", headersBytes);
    }
}

package dev.wigeonward.entry.caller;

import com.google.common.base.Preconditions;

/** What callers may send in one request. */
public record CallerLimits(int bodyBytes, int headersBytes) {
    public CallerLimits {
        Preconditions.checkArgument(bodyBytes > 0, "bodyBytes is %s", bodyBytes);
        Preconditions.checkArgument(headersBytes > 0, "headersBytes is %s", headersBytes);
    }
}

package dev.wigeonward.entry.caller;

import com.google.common.base.Preconditions;

/** What callers may send. */
public record CallerLimits(int bodyBytes, int startLineBytes, int headerFieldBytes, int headersBytes) {
    public CallerLimits {
        Preconditions.checkArgument(bodyBytes > 0, "bodyBytes is %s", bodyBytes);
        Preconditions.checkArgument(startLineBytes > 0, "startLineBytes is %s", startLineBytes);
        Preconditions.checkArgument(headerFieldBytes > 0, "headerFieldBytes is %s", headerFieldBytes);
        Preconditions.checkArgument(headersBytes > 0, "headersBytes is %s", headersBytes);
    }
}

package dev.wigeonward.gateway.upstream;

/**
 * Use of a connection up to the request that it carries now.
 *
 * @param connectionNumber number of the connection in its pool, in the order of their creation
 * @param earlierRequestCount number of requests that it carried before
 * @param carriedSameId whether one of these may have had the identifier of the current request
 */
public record ConnectionUse(long connectionNumber, int earlierRequestCount, boolean carriedSameId) {
    /** Checks that the counts are not negative and that a first request has no earlier one with its identifier. */
    public ConnectionUse {
        if (connectionNumber < 0 || earlierRequestCount < 0) {
            throw new IllegalArgumentException(
                    "negative number in use of connection " + connectionNumber + ": " + earlierRequestCount);
        }
        if (carriedSameId && earlierRequestCount == 0) {
            throw new IllegalArgumentException("connection " + connectionNumber + " carried no request before");
        }
    }

    /** Returns whether the connection has carried no request before the current one. */
    public boolean isFirst() {
        return earlierRequestCount == 0;
    }

    /** Returns key=value pairs for a line of the log. */
    public String describe() {
        return "connection=" + connectionNumber + " earlier_requests=" + earlierRequestCount + " same_id_before="
                + carriedSameId;
    }
}

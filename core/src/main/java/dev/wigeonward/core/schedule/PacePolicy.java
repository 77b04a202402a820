package dev.wigeonward.core.schedule;

import java.util.Collection;

/** Policy that bounds the requests of this entry at each upstream. Not thread-safe. */
public interface PacePolicy {
    /** Policy that bounds the requests by the slots of the upstream only. */
    PacePolicy SLOTS = (upstream, ownRequests, nowMillis) -> upstream.slots();

    /**
     * Returns how many requests of this entry the upstream may have now.
     *
     * @param ownRequests requests of this entry that it has
     */
    int maxOwnRequests(Upstream upstream, int ownRequests, long nowMillis);

    /**
     * Returns whether the upstream counts as cold, so that it answers slowly for a known reason.
     */
    default boolean isCold(Upstream upstream, long nowMillis) {
        return false;
    }

    /** Replaces the number of requests that all peers together reported for an upstream. */
    default void setPeerRequests(String upstreamId, int requests) {}

    /** Records that the upstream takes requests again after it did not accept connections. */
    default void onRecovered(Upstream upstream) {}

    /** Replaces the list of upstreams of the service. */
    default void setUpstreams(Collection<Upstream> listed) {}

    /** Records that a request of this entry was placed on the upstream. */
    default void onPlaced(Upstream upstream, long nowMillis) {}

    /** Records the first event of a stream, or the answer to a plain call, in the time expected of the upstream. */
    default void onGoodAnswer(Upstream upstream, long nowMillis) {}

    /** Records a sign that the upstream has too many requests. */
    default void onSetback(Upstream upstream, Setback setback, long nowMillis) {}

    /** Sign that an upstream has too many requests. */
    enum Setback {
        /** The upstream answered much later than expected of it. */
        SLOW,
        /** The upstream failed, sent nothing, or could not be reached. */
        FAILED,
        /** The upstream reported that it did not run the request. */
        FULL
    }
}

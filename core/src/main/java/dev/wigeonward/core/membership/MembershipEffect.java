package dev.wigeonward.core.membership;

/** An action that {@link UpstreamMembership} requests from its adapters. */
public sealed interface MembershipEffect {
    /** Opens a connection now, in addition to one that may still be open but has timed out. */
    record OpenLink(String upstreamId, String address) implements MembershipEffect {}

    /** Closes the link once its requests in flight have finished, and opens no other. */
    record CloseLink(String upstreamId) implements MembershipEffect {}

    /** Allows new requests to be dispatched to the incarnation. */
    record StartDispatch(String upstreamId, long incarnation) implements MembershipEffect {}

    /** Stops the dispatch of new requests to the incarnation, unless already stopped; requests in flight continue. */
    record StopDispatch(String upstreamId, long incarnation, MemberState state) implements MembershipEffect {}

    /** Reports that a new incarnation replaced the old one; the outcome of requests sent to the old one is unknown. */
    record Replaced(String upstreamId, long oldIncarnation, long newIncarnation) implements MembershipEffect {}
}

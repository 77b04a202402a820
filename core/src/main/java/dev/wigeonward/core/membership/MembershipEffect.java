package dev.wigeonward.core.membership;

/** What an entry's membership asks its adapters to do. */
public sealed interface MembershipEffect {
    /** Open a connection now, beside one that may still be open but silent. */
    record LinkTo(String upstreamId, String address) implements MembershipEffect {}

    /** Close the link and open no other; requests in flight finish first. */
    record UnlinkFrom(String upstreamId) implements MembershipEffect {}

    /** Dispatch to this incarnation from now on. */
    record StartNewWork(String upstreamId, long incarnation) implements MembershipEffect {}

    /** Dispatch nothing more to this incarnation, which may have stopped before; its requests in flight go on. */
    record StopNewWork(String upstreamId, long incarnation, MemberState state) implements MembershipEffect {}

    /** Another incarnation answers now; the outcome of requests dispatched to the old one is unknown. */
    record Replaced(String upstreamId, long oldIncarnation, long newIncarnation) implements MembershipEffect {}
}

package dev.wigeonward.core.coordination;

import dev.wigeonward.core.schedule.RefusalReason;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.Upstream;

/** What an entry is to do after an event of coordination. */
public sealed interface CoordinationEffect {
    /** Send a message to a coordinator. */
    record ToCoordinator(String entry, MemberMessage message) implements CoordinationEffect {}

    /** Send a message to a member. */
    record ToMember(String entry, CoordinatorMessage message) implements CoordinationEffect {}

    /** Send a request of this entry to an upstream. */
    record Place(ScheduledRequest request, Upstream upstream) implements CoordinationEffect {}

    /**
     * Refuse a request of this entry.
     *
     * @param returnAfterMillis time after which the caller should come back, or 0 if this entry decides it
     */
    record Refuse(ScheduledRequest request, RefusalReason reason, long returnAfterMillis)
            implements CoordinationEffect {}

    /** Run a scheduling round, because the queue or a load has changed. */
    record RunRound() implements CoordinationEffect {}

    /** Note that an entry was chosen as coordinator of a service. */
    record Chosen(String service, String entry) implements CoordinationEffect {}

    /** Note that a coordinator was lost, and how many open asks this entry has taken back. */
    record Lost(String service, String entry, int takenBack) implements CoordinationEffect {}

    /** Note that a grant arrived for a request that does not wait for it any more. */
    record LateGrant(String entry) implements CoordinationEffect {}
}

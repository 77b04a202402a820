package dev.wigeonward.gateway.coordination;

import dev.wigeonward.core.schedule.RefusalReason;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.Upstream;

/** Receiver of the decisions of coordinators on requests of this entry. */
public interface Placements {
    /** Sends a waiting request to an upstream. */
    void onPlaced(ScheduledRequest request, Upstream upstream);

    /**
     * Refuses a waiting request.
     *
     * @param returnAfterMillis time after which the caller should come back, or 0 if this entry decides it
     */
    void onRefused(ScheduledRequest request, RefusalReason reason, long returnAfterMillis);

    /** Requests a scheduling round behind the events that are ready now. */
    void requestRound();
}

package dev.wigeonward.gateway.coordination;

import java.util.List;

import dev.wigeonward.core.schedule.Decision;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.ServiceScheduler.Outcome;

/** Decides where a request of this entry waits: at its own scheduler or at a coordinator. Runs on the event loop. */
public interface QueueCoordination {
    /** Queues a request. */
    void offer(String service, ScheduledRequest request);

    /** Removes a request on which there is no decision. */
    void withdraw(String service, ScheduledRequest request);

    /** Handles a decision of the own scheduler; returns false if the request is one of this entry. */
    boolean onDecision(String service, Decision decision);

    /** Runs after a round of the own scheduler that made decisions or left requests waiting. */
    void afterRound(String service);

    /** Handles the first event of the answer to a request of this entry. */
    void onFirstEvent(ScheduledRequest request);

    /** Handles the end of a request of this entry at its upstream. */
    void onEnded(ScheduledRequest request, Outcome outcome);

    /** Returns whether this entry may take each free slot of the service, because it decides for its peers as well. */
    boolean takesAnySlot(String service);

    /** Returns the state as lines for the dump page. */
    List<String> dumpLines();
}

package dev.wigeonward.core.engine;

import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.admission.AdmissionResult;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/**
 * Decides which request an agent hands to its engine next. A request is queued until {@link #next} returns it, then
 * running until {@link #onEnded}. Not thread-safe.
 */
public interface EngineQueue {
    /** Returns whether the request was queued or refused; displaced requests have not run. */
    AdmissionResult offer(RequestSpec request, long nowMillis);

    /** Removes and returns a request to hand over now, or empty if none waits or the engine has no room. */
    Optional<RequestSpec> next(long nowMillis);

    /** Removes and returns the queued requests whose deadline cannot be met any more. */
    List<RequestSpec> removeExpired(long nowMillis);

    /** Removes a queued request and returns whether it was queued; a running one stays until {@link #onEnded}. */
    boolean remove(RequestId id);

    /** Frees the place of a running request. */
    void onEnded(RequestId id, long nowMillis);

    /** Returns the expected time to serve all queued and running requests over the slots, in milliseconds. */
    long backlogMillis(long nowMillis);

    /** Returns the number of requests handed over and not ended. */
    int running();

    /** Returns the number of queued requests. */
    int queued();
}

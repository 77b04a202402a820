package dev.wigeonward.core.engine;

import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.admission.AdmissionResult;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/**
 * Queue that determines which request an agent submits to its engine next. A request is queued until {@link #poll}
 * returns it, and then running until {@link #onEnded} is called for it. Not thread-safe.
 */
public interface EngineQueue {
    /** Adds the request or refuses it, and returns which of the two happened; displaced requests have not run. */
    AdmissionResult offer(RequestSpec request, long nowMillis);

    /**
     * Removes and returns a request to submit now, or returns empty if none is queued or the engine has no capacity.
     */
    Optional<RequestSpec> poll(long nowMillis);

    /** Removes and returns the queued requests that can no longer meet their deadline. */
    List<RequestSpec> removeExpired(long nowMillis);

    /** Removes a queued request and returns whether it was queued; a running one stays until {@link #onEnded}. */
    boolean remove(RequestId id);

    /** Frees the slot of a running request; does nothing if the request is not running. */
    void onEnded(RequestId id, long nowMillis);

    /** Returns the expected time to serve all queued and running requests, divided by the slots, in milliseconds. */
    long backlogMillis(long nowMillis);

    /** Returns the number of running requests. */
    int running();

    /** Returns the number of queued requests. */
    int queued();
}

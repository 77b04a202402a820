package dev.wigeonward.core.admission;

import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;

/** Queue of the requests for one target that wait in an entry. Not thread-safe. */
public interface AdmissionQueue {
    /**
     * Adds the request or refuses it, and returns which of the two happened.
     *
     * @param serviceMillis expected time to serve the request, in milliseconds
     */
    AdmissionResult offer(RequestSpec request, long serviceMillis, long nowMillis);

    /** Removes and returns the request to dispatch next, or returns empty if none is queued. */
    Optional<RequestSpec> poll(long nowMillis);

    /** Reinserts a polled request that could not be dispatched at the front of its tier and workspace. */
    void putBack(RequestSpec request, long serviceMillis);

    /** Removes and returns the requests whose deadline has passed. */
    List<RequestSpec> removeExpired(long nowMillis);

    /** Removes the request and returns whether it was queued. */
    boolean remove(RequestId id);

    /** Returns the expected time to serve all queued requests of the given tier and higher ones, in milliseconds. */
    long backlogMillis(Tier lowest);

    /** Returns the number of queued requests. */
    int size();
}

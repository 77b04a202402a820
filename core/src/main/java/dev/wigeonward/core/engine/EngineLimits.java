package dev.wigeonward.core.engine;

import com.google.common.base.Preconditions;

/**
 * Limits on the requests that an agent admits to its engine and to its queue.
 *
 * @param slots maximum number of concurrent requests in the engine
 * @param maxUnreservedWorkMillis maximum total estimated service time of the requests in the unreserved slots, in
 *     milliseconds; a single request may exceed it
 * @param maxShortMillis longest estimated service time of a short request, in milliseconds
 * @param capacity maximum number of queued requests
 */
public record EngineLimits(int slots, long maxUnreservedWorkMillis, long maxShortMillis, int capacity) {
    private static final int RESERVED_DIVISOR = 4;

    public EngineLimits {
        Preconditions.checkArgument(slots > 0, "slots must be positive but was %s", slots);
        Preconditions.checkArgument(
                maxUnreservedWorkMillis > 0,
                "maxUnreservedWorkMillis must be positive but was %s",
                maxUnreservedWorkMillis);
        Preconditions.checkArgument(
                maxShortMillis >= 0, "maxShortMillis must not be negative but was %s", maxShortMillis);
        Preconditions.checkArgument(capacity > 0, "capacity must be positive but was %s", capacity);
    }

    /**
     * Returns the number of slots reserved for short requests: a quarter, but at least one, or 0 if there is only one
     * slot.
     */
    public int reservedSlots() {
        return slots < 2 ? 0 : Math.max(1, slots / RESERVED_DIVISOR);
    }
}

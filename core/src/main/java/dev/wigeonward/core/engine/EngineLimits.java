package dev.wigeonward.core.engine;

import com.google.common.base.Preconditions;

/**
 * What an agent lets into its engine and into its queue.
 *
 * @param slots requests in the engine at once
 * @param workMillis estimated service time of the requests in the unreserved slots together; a single request may
 *     exceed it
 * @param shortMillis estimated service time up to which a request is short
 * @param capacity queued requests
 */
public record EngineLimits(int slots, long workMillis, long shortMillis, int capacity) {
    private static final int RESERVED_DIVISOR = 4;

    public EngineLimits {
        Preconditions.checkArgument(slots > 0, "slots is %s", slots);
        Preconditions.checkArgument(workMillis > 0, "workMillis is %s", workMillis);
        Preconditions.checkArgument(shortMillis >= 0, "shortMillis is %s", shortMillis);
        Preconditions.checkArgument(capacity > 0, "capacity is %s", capacity);
    }

    /** Returns the slots kept for short requests: a quarter, at least one, none if there is a single slot. */
    public int reservedSlots() {
        return slots < 2 ? 0 : Math.max(1, slots / RESERVED_DIVISOR);
    }
}

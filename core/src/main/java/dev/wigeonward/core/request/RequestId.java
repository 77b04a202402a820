package dev.wigeonward.core.request;

import com.google.common.base.Preconditions;

/** Identifies one request; made by the entry that received it, unique over all entries and their restarts. */
public record RequestId(String value) {
    public RequestId {
        Preconditions.checkArgument(!value.isEmpty(), "request id is empty");
    }

    /** Returns the id of the {@code sequence}-th request of an entry's incarnation. */
    public static RequestId of(String entryId, long incarnation, long sequence) {
        return new RequestId(entryId + "-" + Long.toHexString(incarnation) + "-" + sequence);
    }

    @Override
    public String toString() {
        return value;
    }
}

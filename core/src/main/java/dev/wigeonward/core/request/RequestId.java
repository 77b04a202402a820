package dev.wigeonward.core.request;

import com.google.common.base.Preconditions;

/** Identifier of one request, assigned by the entry that received it; unique across all entries and their restarts. */
public record RequestId(String value) {
    public RequestId {
        Preconditions.checkArgument(!value.isEmpty(), "request id is empty");
    }

    /** Returns the id of the {@code sequence}-th request received by an incarnation of an entry. */
    public static RequestId of(String entryId, long incarnation, long sequence) {
        return new RequestId(entryId + "-" + Long.toHexString(incarnation) + "-" + sequence);
    }

    @Override
    public String toString() {
        return value;
    }
}

package dev.wigeonward.core.request;

import com.google.common.base.Preconditions;

/** Identifier of one dispatch of a request; a retry of a request that did not run gets a new one. */
public record DispatchId(String value) {
    public DispatchId {
        Preconditions.checkArgument(!value.isEmpty(), "dispatch id is empty");
    }

    /** Returns the id of the {@code attempt}-th dispatch of a request, counted from 1. */
    public static DispatchId of(RequestId request, int attempt) {
        Preconditions.checkArgument(attempt > 0, "attempt must be positive, but is %s", attempt);
        return new DispatchId(request.value() + "/" + attempt);
    }

    @Override
    public String toString() {
        return value;
    }
}

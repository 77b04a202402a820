package dev.wigeonward.entry.caller;

import dev.wigeonward.core.error.Failure;

/** Where callers' requests go. */
public interface RequestSink {
    /** Returns false if the request cannot be taken now; it has then not run. */
    boolean submit(CallerSession session);

    /** Says that the caller does not wait any more. */
    void callerGone(CallerSession session);

    /** Counts a request that was refused before admission. */
    void refused(Failure failure);
}

package dev.wigeonward.entry.caller;

import dev.wigeonward.core.error.Failure;

/** Receives the requests of callers for scheduling. */
public interface RequestHandler {
    /** Submits a request for admission. Returns false if the queue is full; the request has then not run. */
    boolean submit(CallerResponse response);

    /** Reports that the caller no longer waits for the answer. */
    void onCallerDisconnected(CallerResponse response);

    /** Counts a request that was refused before admission. */
    void onRefused(Failure failure);
}

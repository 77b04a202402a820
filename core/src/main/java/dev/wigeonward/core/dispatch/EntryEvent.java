package dev.wigeonward.core.dispatch;

import java.util.Set;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.placement.LoadReport;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** An input of {@link EntryDispatcher}. */
public sealed interface EntryEvent {
    /** A caller sent a well-formed request. */
    record RequestArrived(RequestSpec request) implements EntryEvent {}

    /** The caller closed its connection before the answer was complete. */
    record CallerDisconnected(RequestId request) implements EntryEvent {}

    /** The store answered an attempt to create, move or replace a claim. */
    record ClaimAnswered(RequestId request, ClaimResult answer) implements EntryEvent {}

    /** A link to an agent is up. */
    record LinkUp(UpstreamDescription upstream) implements EntryEvent {}

    /** The link to an agent was lost or timed out. */
    record LinkDown(String upstreamId) implements EntryEvent {}

    /** An agent announced its departure, or the VM list shows it as leaving. */
    record UpstreamLeaving(String upstreamId) implements EntryEvent {}

    /**
     * An agent reported its load.
     *
     * @param versions versions that the upstream serves; empty leaves the known versions unchanged
     */
    record LoadReported(String upstreamId, LoadReport report, boolean upstreamAlive, Set<String> versions)
            implements EntryEvent {
        public LoadReported {
            versions = Set.copyOf(versions);
        }
    }

    /** An agent queued the request or attached it to a run. */
    record Accepted(RequestId request, DispatchId dispatch) implements EntryEvent {}

    /** An agent refused the dispatch, which therefore did not reach an upstream. */
    record NotRun(RequestId request, DispatchId dispatch, Failure failure) implements EntryEvent {}

    /** An agent never received the request and will refuse a late copy. */
    record NeverReceived(RequestId request, DispatchId dispatch) implements EntryEvent {}

    /** Part of an answer arrived. */
    record OutputArrived(RequestId request, DispatchId dispatch, long offsetBytes, int lengthBytes)
            implements EntryEvent {}

    /** The upstream completed the answer. */
    record Finished(RequestId request, DispatchId dispatch, long totalBytes) implements EntryEvent {}

    /** The run failed at the agent or the upstream. */
    record Failed(RequestId request, DispatchId dispatch, Failure failure) implements EntryEvent {}

    /** A periodic timer fired. */
    record Tick() implements EntryEvent {}

    /** The entry was asked to shut down after its current requests have completed. */
    record DrainStarted() implements EntryEvent {}
}

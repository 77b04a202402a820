package dev.wigeonward.core.dispatch;

import java.util.List;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** An action that {@link AgentDispatcher} requests from its adapters. A run is named by the request that started it. */
public sealed interface AgentEffect {
    /** Submits a request to the upstream, once for each run. */
    record SubmitToUpstream(RequestId run) implements AgentEffect {}

    /** Cancels a run in the upstream. */
    record CancelInUpstream(RequestId run) implements AgentEffect {}

    /** Reports to the entry that the request is queued or attached to a run. */
    record SendAccepted(long link, RequestId request, DispatchId dispatch) implements AgentEffect {}

    /** Reports to the entry that the dispatch did not reach the upstream. */
    record SendNotRun(long link, RequestId request, DispatchId dispatch, Failure failure) implements AgentEffect {}

    /** Reports to the entry that this incarnation never received the request and will refuse a late copy. */
    record SendNeverReceived(long link, RequestId request, DispatchId dispatch) implements AgentEffect {}

    /** Sends a range of a run's output to the entry. */
    record SendOutput(long link, RequestId request, DispatchId dispatch, RequestId run, long fromBytes, long toBytes)
            implements AgentEffect {}

    /** Reports to the entry that the answer is complete. */
    record SendFinished(long link, RequestId request, DispatchId dispatch, RequestId run, long totalBytes)
            implements AgentEffect {}

    /** Reports to the entry that the run failed or that its outcome is unknown. */
    record SendFailed(long link, RequestId request, DispatchId dispatch, Failure failure) implements AgentEffect {}

    /** Discards output that every reader has acknowledged. */
    record TrimOutput(RequestId run, long uptoBytes) implements AgentEffect {}

    /** Discards everything stored for a run. */
    record ReleaseRun(RequestId run) implements AgentEffect {}

    /** Reports the requests that were running when the upstream died. */
    record ReportSuspects(List<RequestSpec> requests) implements AgentEffect {
        public ReportSuspects {
            requests = List.copyOf(requests);
        }
    }
}

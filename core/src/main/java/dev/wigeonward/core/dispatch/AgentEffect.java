package dev.wigeonward.core.dispatch;

import java.util.List;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** What an agent's dispatcher asks its adapters to do. A run is named by the request that started it. */
public sealed interface AgentEffect {
    /** Hand a request to the upstream; happens once for each run. */
    record SubmitToUpstream(RequestId run) implements AgentEffect {}

    /** Stop a run in the upstream. */
    record CancelInUpstream(RequestId run) implements AgentEffect {}

    /** Tell the entry that the request is queued or attached. */
    record SendAccepted(long link, RequestId request, DispatchId dispatch) implements AgentEffect {}

    /** Tell the entry that no upstream saw the request. */
    record SendNotRun(long link, RequestId request, DispatchId dispatch, Failure failure) implements AgentEffect {}

    /** Tell the entry that this incarnation never received the request and will refuse a late copy. */
    record SendUnseen(long link, RequestId request, DispatchId dispatch) implements AgentEffect {}

    /** Send a part of a run's output. */
    record SendOutput(long link, RequestId request, DispatchId dispatch, RequestId run, long fromBytes, long toBytes)
            implements AgentEffect {}

    /** Tell the entry that the answer is complete. */
    record SendFinished(long link, RequestId request, DispatchId dispatch, RequestId run, long totalBytes)
            implements AgentEffect {}

    /** Tell the entry that the run failed. */
    record SendFailed(long link, RequestId request, DispatchId dispatch, Failure failure) implements AgentEffect {}

    /** Drop output that every reader has confirmed. */
    record TrimOutput(RequestId run, long uptoBytes) implements AgentEffect {}

    /** Drop all that is kept for a run. */
    record ReleaseRun(RequestId run) implements AgentEffect {}

    /** Requests that were running when the upstream died. */
    record ReportSuspects(List<RequestSpec> requests) implements AgentEffect {
        public ReportSuspects {
            requests = List.copyOf(requests);
        }
    }
}

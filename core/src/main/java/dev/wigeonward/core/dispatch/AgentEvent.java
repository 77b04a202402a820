package dev.wigeonward.core.dispatch;

import java.util.Optional;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** An input of {@link AgentDispatcher}. Links are identified by numbers that are never reused. */
public sealed interface AgentEvent {
    /**
     * An entry dispatched a request.
     *
     * @param attachTo request whose run the dispatched one joins without starting a run of its own; empty for a plain
     *     dispatch
     */
    record DispatchArrived(
            long link, RequestSpec request, DispatchId dispatch, long expectedIncarnation, Optional<RequestId> attachTo)
            implements AgentEvent {}

    /** An entry requested the rest of an answer, from an offset on. */
    record ReattachArrived(
            long link, RequestId request, DispatchId dispatch, long expectedIncarnation, long offsetBytes)
            implements AgentEvent {}

    /** An entry acknowledged the answer up to an offset. */
    record AcknowledgeArrived(RequestId request, long offsetBytes) implements AgentEvent {}

    /** An entry cancelled a request because its answer is no longer needed. */
    record CancelArrived(RequestId request) implements AgentEvent {}

    /** The link to an entry was lost or timed out. */
    record LinkLost(long link) implements AgentEvent {}

    /** The upstream sent part of an answer. */
    record UpstreamOutput(RequestId run, int lengthBytes) implements AgentEvent {}

    /** The upstream completed an answer. */
    record UpstreamFinished(RequestId run) implements AgentEvent {}

    /** The upstream failed to complete one request; other runs are not affected. */
    record UpstreamFailed(RequestId run, Failure failure) implements AgentEvent {}

    /** The request could not be delivered to the upstream, which therefore never received it. */
    record UpstreamUnreachable(RequestId run, Failure failure) implements AgentEvent {}

    /** The upstream process died; the requests that were running in it are lost. */
    record UpstreamDied() implements AgentEvent {}

    /** The upstream answered its health check. */
    record UpstreamAlive() implements AgentEvent {}

    /** A periodic timer fired. */
    record Tick() implements AgentEvent {}

    /** The agent was asked to shut down after its current requests have completed. */
    record DrainStarted() implements AgentEvent {}
}

package dev.wigeonward.core.dispatch;

import java.util.Optional;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** What an agent's dispatcher reacts to. Links are told apart by a number that is never used again. */
public sealed interface AgentEvent {
    /**
     * An entry hands over a request.
     *
     * @param attachTo request whose run this one joins without ever starting one; empty for a plain dispatch
     */
    record DispatchArrived(
            long link, RequestSpec request, DispatchId dispatch, long expectedIncarnation, Optional<RequestId> attachTo)
            implements AgentEvent {}

    /** An entry asks for the rest of an answer. */
    record ReattachArrived(
            long link, RequestId request, DispatchId dispatch, long expectedIncarnation, long offsetBytes)
            implements AgentEvent {}

    /** An entry confirms an answer up to an offset. */
    record AcknowledgeArrived(RequestId request, long offsetBytes) implements AgentEvent {}

    /** Nobody waits for the request any more. */
    record CancelArrived(RequestId request) implements AgentEvent {}

    /** The link to an entry was lost or is silent. */
    record LinkLost(long link) implements AgentEvent {}

    /** The upstream sent a part of an answer. */
    record UpstreamOutput(RequestId run, int lengthBytes) implements AgentEvent {}

    /** The upstream completed an answer. */
    record UpstreamFinished(RequestId run) implements AgentEvent {}

    /** The upstream failed to complete one request, and goes on with others. */
    record UpstreamFailed(RequestId run, Failure failure) implements AgentEvent {}

    /** The upstream could not be reached with the request, which it therefore never saw. */
    record UpstreamUnreached(RequestId run, Failure failure) implements AgentEvent {}

    /** The upstream process died; what was running there is lost. */
    record UpstreamDied() implements AgentEvent {}

    /** The upstream answers its health check. */
    record UpstreamAlive() implements AgentEvent {}

    /** Time passed. */
    record Tick() implements AgentEvent {}

    /** The agent is asked to shut down without cutting requests. */
    record DrainStarted() implements AgentEvent {}
}

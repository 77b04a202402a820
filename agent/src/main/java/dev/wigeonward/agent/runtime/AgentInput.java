package dev.wigeonward.agent.runtime;

import java.util.List;
import java.util.Map;

import dev.wigeonward.agent.upstream.UpstreamClient;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.wire.Link;
import dev.wigeonward.wire.generated.Frame;

/** An input of the decision thread of an agent. */
sealed interface AgentInput {
    /** A link was opened. */
    record LinkOpened(Link link) implements AgentInput {}

    /** A frame arrived on a link. */
    record FrameArrived(Link link, Frame frame) implements AgentInput {}

    /** A link was closed. */
    record LinkClosed(Link link, String reason) implements AgentInput {}

    /** Status and headers of an answer arrived from the upstream. */
    record HeadArrived(RequestId run, int status, List<Map.Entry<String, String>> headers) implements AgentInput {}

    /** A part of an answer arrived from the upstream. */
    record OutputArrived(RequestId run, byte[] data) implements AgentInput {}

    /** The upstream completed an answer. */
    record Finished(RequestId run) implements AgentInput {}

    /** The upstream did not complete an answer, or never received the request if {@code unreached} is set. */
    record Failed(RequestId run, Failure failure, boolean notSent) implements AgentInput {}

    /** A health check completed. */
    record Probed(UpstreamClient.ProbeResult result) implements AgentInput {}

    /** The upstream reported changes of its prefix cache. */
    record CacheChanged(UpstreamClient.CacheEvents events) implements AgentInput {}

    /** A task to run on the decision thread. */
    record Query(Runnable task) implements AgentInput {}
}

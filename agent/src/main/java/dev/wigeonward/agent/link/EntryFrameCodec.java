package dev.wigeonward.agent.link;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import dev.wigeonward.agent.upstream.UpstreamRequest;
import dev.wigeonward.core.dispatch.AgentEffect;
import dev.wigeonward.core.dispatch.AgentEvent;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;
import dev.wigeonward.wire.generated.Accepted;
import dev.wigeonward.wire.generated.Dispatch;
import dev.wigeonward.wire.generated.Failed;
import dev.wigeonward.wire.generated.Finished;
import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.Header;
import dev.wigeonward.wire.generated.NotRun;
import dev.wigeonward.wire.generated.Output;
import dev.wigeonward.wire.generated.Reattach;
import dev.wigeonward.wire.generated.ResponseHead;
import dev.wigeonward.wire.generated.Unseen;
import dev.wigeonward.wire.generated.Usage;

/** Converts frames from entries to dispatcher events, and dispatcher effects to frames for entries. */
public final class EntryFrameCodec {
    /** Header that names the requested version to an engine that has several loaded. */
    private static final String VERSION_HEADER = "x-model-version";

    private EntryFrameCodec() {}

    /**
     * Returns the event in a dispatch.
     *
     * @throws IllegalArgumentException if the frame does not describe a request
     */
    public static AgentEvent.DispatchArrived dispatch(long link, Dispatch dispatch, long nowMillis) {
        Tier[] tiers = Tier.values();
        if (dispatch.getTier() >= tiers.length) {
            throw new IllegalArgumentException(
                    "tier is " + dispatch.getTier() + ", expected less than " + tiers.length);
        }
        RequestSpec request = new RequestSpec(
                new RequestId(dispatch.getRequestId()),
                Optional.of(dispatch.getRequestKey()).filter(key -> !key.isEmpty()),
                tiers[dispatch.getTier()],
                dispatch.getWorkspace(),
                dispatch.getTarget(),
                dispatch.getRoute(),
                new WorkEstimate(
                        dispatch.getWork().getPromptTokens(),
                        dispatch.getWork().getOutputTokens(),
                        dispatch.getWork().getPrefixHash()),
                nowMillis + dispatch.getTimeLeftMillis(),
                dispatch.getIdempotent(),
                dispatch.getFingerprint(),
                dispatch.getPromptPartsList());
        Optional<RequestId> attachTo = dispatch.getAttachOnly()
                ? Optional.of(new RequestId(dispatch.getClaimedRequestId()))
                : Optional.empty();
        return new AgentEvent.DispatchArrived(
                link, request, new DispatchId(dispatch.getDispatchId()), dispatch.getAgentIncarnation(), attachTo);
    }

    /** Returns the request to the upstream that a dispatch contains. */
    public static UpstreamRequest upstreamRequest(Dispatch dispatch) {
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        dispatch.getHead()
                .getHeadersList()
                .forEach(header -> headers.add(Map.entry(header.getName(), header.getValue())));
        headers.add(Map.entry(VERSION_HEADER, dispatch.getVersion()));
        return new UpstreamRequest(
                new RequestId(dispatch.getRequestId()),
                dispatch.getHead().getMethod(),
                dispatch.getHead().getPath(),
                headers,
                dispatch.getBody().toByteArray());
    }

    /** Returns the event in a reattach frame, which asks for the rest of an answer. */
    public static AgentEvent.ReattachArrived reattach(long link, Reattach reattach) {
        return new AgentEvent.ReattachArrived(
                link,
                new RequestId(reattach.getRequestId()),
                new DispatchId(reattach.getDispatchId()),
                reattach.getAgentIncarnation(),
                reattach.getOffset());
    }

    /** Returns the frame that reports a request as queued, or attached to a run. */
    public static Frame accepted(AgentEffect.SendAccepted effect) {
        return Frame.newBuilder()
                .setAccepted(Accepted.newBuilder()
                        .setRequestId(effect.request().value())
                        .setDispatchId(effect.dispatch().value()))
                .build();
    }

    /** Returns the frame that proves that no upstream saw a request. */
    public static Frame notRun(RequestId request, DispatchId dispatch, Failure failure) {
        return Frame.newBuilder()
                .setNotRun(NotRun.newBuilder()
                        .setRequestId(request.value())
                        .setDispatchId(dispatch.value())
                        .setErrorKind(failure.kind().wireName())
                        .setMessage(failure.message()))
                .build();
    }

    /** Returns the frame that guarantees that a request never runs here. */
    public static Frame unseen(AgentEffect.SendNeverReceived effect) {
        return Frame.newBuilder()
                .setUnseen(Unseen.newBuilder()
                        .setRequestId(effect.request().value())
                        .setDispatchId(effect.dispatch().value()))
                .build();
    }

    /** Returns the frame for a part of an answer; the first part also contains the head. */
    public static Frame output(
            RequestId request, DispatchId dispatch, long offsetBytes, byte[] part, Optional<ResponseHead> head) {
        Output.Builder output = Output.newBuilder()
                .setRequestId(request.value())
                .setDispatchId(dispatch.value())
                .setOffset(offsetBytes)
                .setData(part.length == 0 ? ByteString.EMPTY : UnsafeByteOperations.unsafeWrap(part));
        head.ifPresent(output::setHead);
        return Frame.newBuilder().setOutput(output).build();
    }

    /** Returns the frame that completes an answer. */
    public static Frame finished(AgentEffect.SendFinished effect, ResponseHead head, Usage usage) {
        return Frame.newBuilder()
                .setFinished(Finished.newBuilder()
                        .setRequestId(effect.request().value())
                        .setDispatchId(effect.dispatch().value())
                        .setHead(head)
                        .setUsage(usage)
                        .setTotalLength(effect.totalBytes()))
                .build();
    }

    /** Returns the frame that reports a failed run. */
    public static Frame failed(AgentEffect.SendFailed effect) {
        return Frame.newBuilder()
                .setFailed(Failed.newBuilder()
                        .setRequestId(effect.request().value())
                        .setDispatchId(effect.dispatch().value())
                        .setErrorKind(effect.failure().kind().wireName())
                        .setRunState(effect.failure().kind().runState().wireName())
                        .setMessage(effect.failure().message()))
                .build();
    }

    /** Returns the message for status and headers of an answer. */
    public static ResponseHead head(int status, List<Map.Entry<String, String>> headers) {
        ResponseHead.Builder head = ResponseHead.newBuilder().setStatus(status);
        headers.forEach(header ->
                head.addHeaders(Header.newBuilder().setName(header.getKey()).setValue(header.getValue())));
        return head.build();
    }
}

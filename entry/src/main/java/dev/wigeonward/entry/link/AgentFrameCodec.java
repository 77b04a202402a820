package dev.wigeonward.entry.link;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.UnsafeByteOperations;
import dev.wigeonward.core.dispatch.EntryEffect;
import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.placement.LoadReport;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.entry.caller.CallerRequest;
import dev.wigeonward.entry.caller.CallerService;
import dev.wigeonward.wire.generated.Acknowledge;
import dev.wigeonward.wire.generated.BodyPart;
import dev.wigeonward.wire.generated.Cancel;
import dev.wigeonward.wire.generated.Dispatch;
import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.Header;
import dev.wigeonward.wire.generated.Hello;
import dev.wigeonward.wire.generated.Load;
import dev.wigeonward.wire.generated.Reattach;
import dev.wigeonward.wire.generated.RequestHead;
import dev.wigeonward.wire.generated.ResponseHead;
import dev.wigeonward.wire.generated.UpstreamInfo;
import dev.wigeonward.wire.generated.Work;

/** Converts dispatcher effects to frames for agents, and frames from agents to dispatcher events. */
public final class AgentFrameCodec {
    /** Maximum body size of the first frame; leaves room for headers of up to 256 KiB in a frame of up to 1 MiB. */
    private static final int FIRST_PART_BYTES = 512 * 1024;

    private static final int BODY_PART_BYTES = 64 * 1024;

    private AgentFrameCodec() {}

    /** Returns the frames of a dispatch with the caller's request; a long body is split over several frames. */
    public static List<Frame> dispatch(EntryEffect.SendDispatch effect, RequestSpec request, CallerRequest http) {
        Dispatch.Builder dispatch = describe(effect.request(), effect.dispatch(), request)
                .setTimeLeftMillis(Math.max(0, effect.remainingMillis()))
                .setAgentIncarnation(effect.upstreamIncarnation())
                .setVersion(effect.version())
                .setHead(head(http))
                .setBody(
                        UnsafeByteOperations.unsafeWrap(http.body(), 0, Math.min(FIRST_PART_BYTES, http.body().length)))
                .setBodyLength(http.body().length);
        List<Frame> frames = new ArrayList<>();
        frames.add(Frame.newBuilder().setDispatch(dispatch).build());
        for (int offset = FIRST_PART_BYTES; offset < http.body().length; offset += BODY_PART_BYTES) {
            int length = Math.min(BODY_PART_BYTES, http.body().length - offset);
            BodyPart part = BodyPart.newBuilder()
                    .setRequestId(effect.request().value())
                    .setOffset(offset)
                    .setData(UnsafeByteOperations.unsafeWrap(http.body(), offset, length))
                    .build();
            frames.add(Frame.newBuilder().setBodyPart(part).build());
        }
        return frames;
    }

    /** Returns the frame that attaches a request to the run of another request. */
    public static Frame attach(
            EntryEffect.SendAttach effect, RequestSpec request, long upstreamIncarnation, long timeLeftMillis) {
        Dispatch.Builder dispatch = describe(effect.request(), effect.dispatch(), request)
                .setTimeLeftMillis(Math.max(0, timeLeftMillis))
                .setAgentIncarnation(upstreamIncarnation)
                .setAttachOnly(true)
                .setClaimedRequestId(effect.claimedBy().value());
        return Frame.newBuilder().setDispatch(dispatch).build();
    }

    private static Dispatch.Builder describe(RequestId id, DispatchId dispatchId, RequestSpec request) {
        return Dispatch.newBuilder()
                .setRequestId(id.value())
                .setDispatchId(dispatchId.value())
                .setRequestKey(request.key().orElse(""))
                .setTier(request.tier().ordinal())
                .setWorkspace(request.workspace())
                .setTarget(request.target())
                .setRoute(request.route())
                .setIdempotent(request.idempotent())
                .setFingerprint(request.fingerprint())
                .addAllPromptParts(request.promptParts())
                .setWork(Work.newBuilder()
                        .setPromptTokens(request.work().promptTokens())
                        .setOutputTokens(request.work().outputTokens())
                        .setPrefixHash(request.work().prefixHash()));
    }

    private static RequestHead head(CallerRequest http) {
        RequestHead.Builder head =
                RequestHead.newBuilder().setMethod(http.method()).setPath(http.path());
        http.headers().stream()
                .filter(header -> CallerService.isForwarded(header.getKey()))
                .forEach(header -> head.addHeaders(
                        Header.newBuilder().setName(header.getKey()).setValue(header.getValue())));
        return head.build();
    }

    /** Returns the frame that asks for the rest of an answer. */
    public static Frame reattach(EntryEffect.SendReattach effect) {
        return Frame.newBuilder()
                .setReattach(Reattach.newBuilder()
                        .setRequestId(effect.request().value())
                        .setDispatchId(effect.dispatch().value())
                        .setAgentIncarnation(effect.upstreamIncarnation())
                        .setOffset(effect.offsetBytes()))
                .build();
    }

    /** Returns the frame that confirms an answer up to an offset. */
    public static Frame acknowledge(EntryEffect.SendAcknowledge effect) {
        return Frame.newBuilder()
                .setAcknowledge(Acknowledge.newBuilder()
                        .setRequestId(effect.request().value())
                        .setOffset(effect.offsetBytes()))
                .build();
    }

    /** Returns the frame that cancels a request and frees its slot. */
    public static Frame cancel(EntryEffect.SendCancel effect) {
        return Frame.newBuilder()
                .setCancel(Cancel.newBuilder().setRequestId(effect.request().value()))
                .build();
    }

    /** Returns the upstream that a hello describes, or empty if it describes none or an invalid one. */
    public static Optional<UpstreamDescription> describe(Hello hello) {
        if (!hello.hasUpstream()) {
            return Optional.empty();
        }
        UpstreamInfo info = hello.getUpstream();
        try {
            return Optional.of(new UpstreamDescription(
                    info.getUpstreamId(),
                    hello.getIncarnation(),
                    info.getTarget(),
                    info.getVersion(),
                    hello.getFailureDomain(),
                    info.getSlots(),
                    new EngineSpeed(info.getPrefillTokensPerSecond(), info.getDecodeTokensPerSecond())));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns the dispatcher event in a frame, or empty if the frame contains none. */
    public static Optional<EntryEvent> event(String upstreamId, Frame frame) {
        return switch (frame.getBodyCase()) {
            case HEARTBEAT ->
                frame.getHeartbeat().hasLoad()
                        ? Optional.of(load(upstreamId, frame.getHeartbeat().getLoad()))
                        : Optional.empty();
            case ACCEPTED ->
                Optional.of(new EntryEvent.Accepted(
                        new RequestId(frame.getAccepted().getRequestId()),
                        new DispatchId(frame.getAccepted().getDispatchId())));
            case NOT_RUN ->
                Optional.of(new EntryEvent.NotRun(
                        new RequestId(frame.getNotRun().getRequestId()),
                        new DispatchId(frame.getNotRun().getDispatchId()),
                        failure(
                                frame.getNotRun().getErrorKind(),
                                frame.getNotRun().getMessage())));
            case UNSEEN ->
                Optional.of(new EntryEvent.NeverReceived(
                        new RequestId(frame.getUnseen().getRequestId()),
                        new DispatchId(frame.getUnseen().getDispatchId())));
            case OUTPUT ->
                Optional.of(new EntryEvent.OutputArrived(
                        new RequestId(frame.getOutput().getRequestId()),
                        new DispatchId(frame.getOutput().getDispatchId()),
                        frame.getOutput().getOffset(),
                        frame.getOutput().getData().size()));
            case FINISHED ->
                Optional.of(new EntryEvent.Finished(
                        new RequestId(frame.getFinished().getRequestId()),
                        new DispatchId(frame.getFinished().getDispatchId()),
                        frame.getFinished().getTotalLength()));
            case FAILED ->
                Optional.of(new EntryEvent.Failed(
                        new RequestId(frame.getFailed().getRequestId()),
                        new DispatchId(frame.getFailed().getDispatchId()),
                        failure(
                                frame.getFailed().getErrorKind(),
                                frame.getFailed().getMessage())));
            case LEAVING -> Optional.of(new EntryEvent.UpstreamLeaving(upstreamId));
            default -> Optional.empty();
        };
    }

    private static EntryEvent load(String upstreamId, Load load) {
        LoadReport report = new LoadReport(
                load.getBacklogMillis(),
                load.getRunning(),
                load.getQueued(),
                load.getCachedPrefixesList(),
                load.getEvictedPrefixesList());
        return new EntryEvent.LoadReported(
                upstreamId, report, load.getUpstreamAlive(), Set.copyOf(load.getLoadedVersionsList()));
    }

    /**
     * Converts a reported error. An unknown kind comes from a newer agent, so its run state is unknown to this entry.
     */
    private static Failure failure(String kind, String message) {
        return Failure.of(ErrorKind.fromWireName(kind).orElse(ErrorKind.INTERNAL), message);
    }

    /** Returns the headers of an answer that are forwarded to the caller. */
    public static List<Map.Entry<String, String>> headers(ResponseHead head) {
        return head.getHeadersList().stream()
                .filter(header -> CallerService.isForwarded(header.getName()))
                .map(header -> Map.entry(header.getName(), header.getValue()))
                .toList();
    }
}

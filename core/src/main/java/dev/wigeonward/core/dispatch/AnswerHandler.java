package dev.wigeonward.core.dispatch;

import java.util.Optional;

import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;

/**
 * The part of {@link EntryDispatcher} from a dispatch to the end of the answer: output offsets, reattachment, and loss
 * of links and agents.
 */
final class AnswerHandler {
    private final EntryDispatcher dispatcher;
    private final UpstreamDirectory upstreams;
    private final DispatchLimits limits;

    AnswerHandler(EntryDispatcher dispatcher, UpstreamDirectory upstreams, DispatchLimits limits) {
        this.dispatcher = dispatcher;
        this.upstreams = upstreams;
        this.limits = limits;
    }

    void handle(EntryEvent event, long nowMillis) {
        if (event instanceof EntryEvent.Accepted accepted) {
            findCurrent(accepted.request(), accepted.dispatch()).ifPresent(this::onAccepted);
        } else if (event instanceof EntryEvent.NotRun notRun) {
            findCurrent(notRun.request(), notRun.dispatch())
                    .ifPresent(pending -> onNotRun(pending, notRun.failure(), nowMillis));
        } else if (event instanceof EntryEvent.NeverReceived neverReceived) {
            findCurrent(neverReceived.request(), neverReceived.dispatch())
                    .ifPresent(pending -> onNeverReceived(pending, nowMillis));
        } else if (event instanceof EntryEvent.OutputArrived output) {
            findCurrent(output.request(), output.dispatch()).ifPresent(pending -> onOutput(pending, output, nowMillis));
        } else if (event instanceof EntryEvent.Finished finished) {
            findCurrent(finished.request(), finished.dispatch())
                    .ifPresent(pending -> onFinished(pending, finished.totalBytes(), nowMillis));
        } else if (event instanceof EntryEvent.Failed failed) {
            findCurrent(failed.request(), failed.dispatch())
                    .ifPresent(pending -> onFailed(pending, failed.failure(), nowMillis));
        }
    }

    /** Returns the request if the dispatch is its current one; late and misdirected messages are ignored. */
    private Optional<PendingRequest> findCurrent(RequestId request, DispatchId dispatch) {
        return dispatcher
                .pending(request)
                .filter(pending -> pending.isDispatchedAs(dispatch)
                        || (pending.phase == PendingRequest.Phase.ATTACHING && dispatch.equals(pending.dispatch)));
    }

    private void onAccepted(PendingRequest pending) {
        pending.phase = PendingRequest.Phase.DISPATCHED;
    }

    private void onNotRun(PendingRequest pending, Failure failure, long nowMillis) {
        String target = pending.request.target();
        dispatcher.retryOrFail(pending, failure, nowMillis);
        dispatcher.dispatchQueued(target, nowMillis);
    }

    private void onNeverReceived(PendingRequest pending, long nowMillis) {
        if (pending.request.remainingMillis(nowMillis) <= 0) {
            // Agents guarantee a record of what ran only until the deadline; a paused entry may ask later.
            onFailed(
                    pending,
                    Failure.of(ErrorKind.DEADLINE_EXCEEDED_RUNNING, "the deadline passed before the agent answered"),
                    nowMillis);
            return;
        }
        if (pending.phase == PendingRequest.Phase.ATTACHING) {
            claimHandler().onAttachNeverReceived(pending);
            return;
        }
        onNotRun(pending, Failure.of(ErrorKind.NO_UPSTREAM, "the agent never received the request"), nowMillis);
    }

    private void onOutput(PendingRequest pending, EntryEvent.OutputArrived output, long nowMillis) {
        pending.phase = PendingRequest.Phase.DISPATCHED;
        if (output.offsetBytes() > pending.receivedBytes) {
            reattach(pending, nowMillis);
            return;
        }
        long endBytes = output.offsetBytes() + output.lengthBytes();
        if (endBytes <= pending.receivedBytes) {
            return;
        }
        int skipBytes = (int) (pending.receivedBytes - output.offsetBytes());
        pending.receivedBytes = endBytes;
        if (!pending.callerDisconnected || pending.needsClaim()) {
            // The outcome stored for resends needs all output, even after the first caller disconnected.
            dispatcher.emit(new EntryEffect.DeliverOutput(pending.request.id(), skipBytes));
        }
        if (pending.receivedBytes - pending.acknowledgedBytes >= limits.acknowledgeIntervalBytes()) {
            acknowledge(pending);
        }
    }

    private void onFinished(PendingRequest pending, long totalBytes, long nowMillis) {
        if (totalBytes > pending.receivedBytes) {
            reattach(pending, nowMillis);
            return;
        }
        if (totalBytes < pending.receivedBytes) {
            dispatcher.fail(
                    pending,
                    Failure.of(
                            ErrorKind.OUTPUT_INCOMPLETE,
                            "received %d bytes of output, but the upstream sent %d"
                                    .formatted(pending.receivedBytes, totalBytes)),
                    nowMillis);
            return;
        }
        acknowledge(pending);
        if (pending.needsClaim()) {
            dispatcher.emit(new EntryEffect.RecordOutcome(pending.request.id()));
        }
        if (!pending.callerDisconnected) {
            dispatcher.emit(new EntryEffect.DeliverEnd(pending.request.id()));
        }
        dispatcher.end(pending, nowMillis);
        dispatcher.dispatchQueued(pending.request.target(), nowMillis);
    }

    private void onFailed(PendingRequest pending, Failure failure, long nowMillis) {
        acknowledge(pending);
        dispatcher.fail(pending, failure, nowMillis);
        dispatcher.dispatchQueued(pending.request.target(), nowMillis);
    }

    private void acknowledge(PendingRequest pending) {
        pending.acknowledgedBytes = pending.receivedBytes;
        dispatcher.emit(
                new EntryEffect.SendAcknowledge(pending.request.id(), pending.upstreamId, pending.receivedBytes));
    }

    private void reattach(PendingRequest pending, long nowMillis) {
        pending.reattaches++;
        if (pending.reattaches > limits.maxReattaches()) {
            dispatcher.emit(new EntryEffect.SendCancel(pending.request.id(), pending.upstreamId));
            dispatcher.fail(
                    pending,
                    Failure.of(
                            ErrorKind.OUTPUT_INCOMPLETE,
                            "output was still incomplete after %d reattachments".formatted(limits.maxReattaches())),
                    nowMillis);
            return;
        }
        dispatcher.emit(new EntryEffect.SendReattach(
                pending.request.id(),
                pending.dispatch,
                pending.upstreamId,
                pending.upstreamIncarnation,
                pending.receivedBytes));
    }

    void onLinkUp(UpstreamDescription upstream, boolean restarted, long nowMillis) {
        for (PendingRequest pending : dispatcher.pendingAt(upstream.upstreamId())) {
            if (pending.phase == PendingRequest.Phase.CLAIMING) {
                continue;
            }
            if (pending.upstreamIncarnation != upstream.incarnation()) {
                dispatcher.fail(
                        pending,
                        Failure.of(ErrorKind.UPSTREAM_LOST, "the agent was restarted while it held the request"),
                        nowMillis);
                continue;
            }
            if (pending.detachedAtMillis >= 0) {
                pending.detachedAtMillis = -1;
                resume(pending, nowMillis);
            }
        }
    }

    /**
     * Sends an attach again, or reattaches a request that was dispatched. An attaching request must not reattach: the
     * agent never received it and would say so, which would be mistaken for proof that the agent never received the
     * request that holds the claim, and that claim would be replaced.
     */
    private void resume(PendingRequest pending, long nowMillis) {
        if (pending.phase == PendingRequest.Phase.ATTACHING) {
            claimHandler().sendAttach(pending);
            return;
        }
        reattach(pending, nowMillis);
    }

    void onLinkDown(String upstreamId, long nowMillis) {
        for (PendingRequest pending : dispatcher.pendingAt(upstreamId)) {
            if (pending.phase != PendingRequest.Phase.CLAIMING && pending.detachedAtMillis < 0) {
                pending.detachedAtMillis = nowMillis;
            }
        }
    }

    /** Ends a request whose agent was unreachable for too long or whose deadline has passed. */
    void checkTimeouts(PendingRequest pending, long nowMillis) {
        boolean lost =
                pending.detachedAtMillis >= 0 && nowMillis - pending.detachedAtMillis >= limits.reattachLimitMillis();
        if (lost) {
            dispatcher.fail(
                    pending,
                    Failure.of(
                            ErrorKind.UPSTREAM_LOST,
                            "the agent was not reachable within %d ms".formatted(limits.reattachLimitMillis())),
                    nowMillis);
            return;
        }
        if (pending.request.remainingMillis(nowMillis) > 0) {
            return;
        }
        if (pending.phase == PendingRequest.Phase.CLAIMING) {
            dispatcher.fail(
                    pending,
                    Failure.of(ErrorKind.CLAIM_UNAVAILABLE, "the store did not confirm the claim before the deadline"),
                    nowMillis);
            return;
        }
        if (pending.phase == PendingRequest.Phase.QUEUED || pending.callerDisconnected) {
            return;
        }
        expireRunning(pending, nowMillis);
    }

    private void expireRunning(PendingRequest pending, long nowMillis) {
        Failure failure =
                Failure.of(ErrorKind.DEADLINE_EXCEEDED_RUNNING, "the deadline passed while the request was running");
        if (pending.needsClaim()) {
            // Only the caller is answered; the run goes on so that its outcome can be stored.
            dispatcher.emit(new EntryEffect.DeliverFailure(pending.request.id(), failure));
            pending.callerDisconnected = true;
            return;
        }
        dispatcher.emit(new EntryEffect.SendCancel(pending.request.id(), pending.upstreamId));
        dispatcher.fail(pending, failure, nowMillis);
    }

    private ClaimHandler claimHandler() {
        return dispatcher.claimHandler();
    }
}

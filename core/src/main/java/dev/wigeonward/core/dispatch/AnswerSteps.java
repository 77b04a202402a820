package dev.wigeonward.core.dispatch;

import java.util.Optional;

import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;

/** The steps from a dispatch to the end of the answer: offsets, reattachment, loss of links and agents. */
final class AnswerSteps {
    private final EntryDispatcher dispatcher;
    private final UpstreamDirectory upstreams;
    private final DispatchLimits limits;

    AnswerSteps(EntryDispatcher dispatcher, UpstreamDirectory upstreams, DispatchLimits limits) {
        this.dispatcher = dispatcher;
        this.upstreams = upstreams;
        this.limits = limits;
    }

    void handle(EntryEvent event, long nowMillis) {
        if (event instanceof EntryEvent.Accepted accepted) {
            find(accepted.request(), accepted.dispatch()).ifPresent(this::attached);
        } else if (event instanceof EntryEvent.NotRun notRun) {
            find(notRun.request(), notRun.dispatch()).ifPresent(flight -> notRun(flight, notRun.failure(), nowMillis));
        } else if (event instanceof EntryEvent.Unseen unseen) {
            find(unseen.request(), unseen.dispatch()).ifPresent(flight -> unseen(flight, nowMillis));
        } else if (event instanceof EntryEvent.OutputArrived output) {
            find(output.request(), output.dispatch()).ifPresent(flight -> output(flight, output, nowMillis));
        } else if (event instanceof EntryEvent.Finished finished) {
            find(finished.request(), finished.dispatch())
                    .ifPresent(flight -> finished(flight, finished.totalBytes(), nowMillis));
        } else if (event instanceof EntryEvent.Failed failed) {
            find(failed.request(), failed.dispatch()).ifPresent(flight -> failed(flight, failed.failure(), nowMillis));
        }
    }

    /** Answers that belong to no current dispatch came late or to the wrong entry and are dropped. */
    private Optional<Flight> find(RequestId request, DispatchId dispatch) {
        return dispatcher
                .flight(request)
                .filter(flight -> flight.waitsFor(dispatch)
                        || (flight.phase == Flight.Phase.ATTACHING && dispatch.equals(flight.dispatch)));
    }

    private void attached(Flight flight) {
        flight.phase = Flight.Phase.DISPATCHED;
    }

    private void notRun(Flight flight, Failure failure, long nowMillis) {
        String target = flight.request.target();
        dispatcher.retryOrFail(flight, failure, nowMillis);
        dispatcher.pump(target, nowMillis);
    }

    private void unseen(Flight flight, long nowMillis) {
        if (flight.request.timeLeftMillis(nowMillis) <= 0) {
            // Agents remember what ran until the deadline only; an entry that was paused may ask after that.
            failed(flight, Failure.of(ErrorKind.DEADLINE_EXCEEDED_RUNNING, "the deadline passed"), nowMillis);
            return;
        }
        if (flight.phase == Flight.Phase.ATTACHING) {
            claims().attachUnseen(flight);
            return;
        }
        notRun(flight, Failure.of(ErrorKind.NO_UPSTREAM, "the agent never received the request"), nowMillis);
    }

    private void output(Flight flight, EntryEvent.OutputArrived output, long nowMillis) {
        flight.phase = Flight.Phase.DISPATCHED;
        if (output.offsetBytes() > flight.receivedBytes) {
            reattach(flight, nowMillis);
            return;
        }
        long endBytes = output.offsetBytes() + output.lengthBytes();
        if (endBytes <= flight.receivedBytes) {
            return;
        }
        int skipBytes = (int) (flight.receivedBytes - output.offsetBytes());
        flight.receivedBytes = endBytes;
        if (!flight.callerGone || flight.claimed()) {
            // The outcome that is stored for resends needs all output, also after the first caller left.
            dispatcher.emit(new EntryEffect.DeliverOutput(flight.request.id(), skipBytes));
        }
        if (flight.receivedBytes - flight.acknowledgedBytes >= limits.acknowledgeStepBytes()) {
            acknowledge(flight);
        }
    }

    private void finished(Flight flight, long totalBytes, long nowMillis) {
        if (totalBytes > flight.receivedBytes) {
            reattach(flight, nowMillis);
            return;
        }
        if (totalBytes < flight.receivedBytes) {
            dispatcher.fail(
                    flight, Failure.of(ErrorKind.OUTPUT_INCOMPLETE, "more output than the upstream sent"), nowMillis);
            return;
        }
        acknowledge(flight);
        if (flight.claimed()) {
            dispatcher.emit(new EntryEffect.RecordOutcome(flight.request.id()));
        }
        if (!flight.callerGone) {
            dispatcher.emit(new EntryEffect.DeliverEnd(flight.request.id()));
        }
        dispatcher.end(flight, nowMillis);
        dispatcher.pump(flight.request.target(), nowMillis);
    }

    private void failed(Flight flight, Failure failure, long nowMillis) {
        acknowledge(flight);
        dispatcher.fail(flight, failure, nowMillis);
        dispatcher.pump(flight.request.target(), nowMillis);
    }

    private void acknowledge(Flight flight) {
        flight.acknowledgedBytes = flight.receivedBytes;
        dispatcher.emit(new EntryEffect.SendAcknowledge(flight.request.id(), flight.upstreamId, flight.receivedBytes));
    }

    private void reattach(Flight flight, long nowMillis) {
        flight.reattaches++;
        if (flight.reattaches > limits.maxReattaches()) {
            dispatcher.emit(new EntryEffect.SendCancel(flight.request.id(), flight.upstreamId));
            dispatcher.fail(
                    flight, Failure.of(ErrorKind.OUTPUT_INCOMPLETE, "output was lost again and again"), nowMillis);
            return;
        }
        dispatcher.emit(new EntryEffect.SendReattach(
                flight.request.id(),
                flight.dispatch,
                flight.upstreamId,
                flight.upstreamIncarnation,
                flight.receivedBytes));
    }

    void linkUp(UpstreamDescription upstream, boolean restarted, long nowMillis) {
        for (Flight flight : dispatcher.flightsAt(upstream.upstreamId())) {
            if (flight.phase == Flight.Phase.CLAIMING) {
                continue;
            }
            if (flight.upstreamIncarnation != upstream.incarnation()) {
                dispatcher.fail(
                        flight,
                        Failure.of(ErrorKind.UPSTREAM_LOST, "the agent was restarted while it held the request"),
                        nowMillis);
                continue;
            }
            if (flight.detachedAtMillis >= 0) {
                flight.detachedAtMillis = -1;
                resume(flight, nowMillis);
            }
        }
    }

    /**
     * The answer to a reattach is about the own request. An entry that still waits for the answer to its attach would
     * take it as proof that the claiming request was never received, and take its claim over.
     */
    private void resume(Flight flight, long nowMillis) {
        if (flight.phase == Flight.Phase.ATTACHING) {
            claims().sendAttach(flight);
            return;
        }
        reattach(flight, nowMillis);
    }

    void linkDown(String upstreamId, long nowMillis) {
        for (Flight flight : dispatcher.flightsAt(upstreamId)) {
            if (flight.phase != Flight.Phase.CLAIMING && flight.detachedAtMillis < 0) {
                flight.detachedAtMillis = nowMillis;
            }
        }
    }

    /** Fails requests whose agent stays away, or whose deadline has passed. */
    void checkTime(Flight flight, long nowMillis) {
        boolean lost =
                flight.detachedAtMillis >= 0 && nowMillis - flight.detachedAtMillis >= limits.reattachLimitMillis();
        if (lost) {
            dispatcher.fail(flight, Failure.of(ErrorKind.UPSTREAM_LOST, "the agent cannot be reached"), nowMillis);
            return;
        }
        if (flight.request.timeLeftMillis(nowMillis) > 0) {
            return;
        }
        if (flight.phase == Flight.Phase.CLAIMING) {
            dispatcher.fail(
                    flight,
                    Failure.of(ErrorKind.CLAIM_UNAVAILABLE, "the store did not answer before the deadline"),
                    nowMillis);
            return;
        }
        if (flight.phase == Flight.Phase.QUEUED || flight.callerGone) {
            return;
        }
        expireRunning(flight, nowMillis);
    }

    private void expireRunning(Flight flight, long nowMillis) {
        Failure failure = Failure.of(ErrorKind.DEADLINE_EXCEEDED_RUNNING, "the deadline passed while running");
        if (flight.claimed()) {
            // The caller gets its answer now; the run goes on so that its outcome can be stored.
            dispatcher.emit(new EntryEffect.DeliverFailure(flight.request.id(), failure));
            flight.callerGone = true;
            return;
        }
        dispatcher.emit(new EntryEffect.SendCancel(flight.request.id(), flight.upstreamId));
        dispatcher.fail(flight, failure, nowMillis);
    }

    private ClaimSteps claims() {
        return dispatcher.claims();
    }
}

package dev.wigeonward.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import dev.wigeonward.core.admission.AdmissionResult;
import dev.wigeonward.core.engine.EngineQueue;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/**
 * State machine of one agent: decides which requests its upstream runs and what is sent to each entry. Holds the only
 * record of what this incarnation ran, and rejects dispatches addressed to another incarnation. Not thread-safe.
 */
public final class AgentDispatcher {
    private final long incarnation;
    private final EngineQueue queue;
    private final AgentLimits limits;
    private final Map<RequestId, Run> runsByReader = new HashMap<>();

    private final Map<String, Run> runsByKey = new HashMap<>();
    private final Map<RequestId, Run> runs = new LinkedHashMap<>();
    /** Requests that were reported as never received or not run; a late copy of them is refused. */
    private final Set<RequestId> tombstones = new LinkedHashSet<>();

    private final EarlyAttaches earlyAttaches = new EarlyAttaches();
    private final RunHistory history;
    private final OutputSender outputSender;
    private List<AgentEffect> effects = new ArrayList<>();
    private boolean draining;
    private boolean upstreamAlive = true;

    private AgentDispatcher(long incarnation, EngineQueue queue, AgentLimits limits) {
        this.incarnation = incarnation;
        this.queue = Objects.requireNonNull(queue, "queue");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.history = new RunHistory(limits.maxTombstones());
        this.outputSender = new OutputSender(limits.windowBytes(), this::emit);
    }

    /** Returns a dispatcher without runs. */
    public static AgentDispatcher create(long incarnation, EngineQueue queue, AgentLimits limits) {
        return new AgentDispatcher(incarnation, queue, limits);
    }

    /** Applies an event and returns its effects, in the order in which they must be carried out. */
    public List<AgentEffect> handle(AgentEvent event, long nowMillis) {
        effects = new ArrayList<>();
        if (event instanceof AgentEvent.DispatchArrived arrived) {
            onDispatch(arrived, true, nowMillis);
            earlyAttaches.removeFor(arrived.request().id()).forEach(attach -> onDispatch(attach, false, nowMillis));
        } else if (event instanceof AgentEvent.ReattachArrived arrived) {
            onReattach(arrived, nowMillis);
        } else if (event instanceof AgentEvent.AcknowledgeArrived arrived) {
            onAcknowledge(arrived);
        } else if (event instanceof AgentEvent.CancelArrived arrived) {
            onCancel(arrived.request(), nowMillis);
        } else if (event instanceof AgentEvent.LinkLost lost) {
            onLinkLost(lost.link(), nowMillis);
        } else if (event instanceof AgentEvent.Tick) {
            onTick(nowMillis);
        } else if (event instanceof AgentEvent.DrainStarted) {
            draining = true;
        } else {
            handleUpstream(event, nowMillis);
        }
        return effects;
    }

    private void handleUpstream(AgentEvent event, long nowMillis) {
        if (event instanceof AgentEvent.UpstreamOutput produced) {
            findRunning(produced.run()).ifPresent(run -> {
                run.producedBytes += produced.lengthBytes();
                outputSender.send(run);
            });
        } else if (event instanceof AgentEvent.UpstreamFinished finished) {
            findRunning(finished.run()).ifPresent(run -> endRun(run, null, nowMillis));
        } else if (event instanceof AgentEvent.UpstreamFailed failed) {
            findRunning(failed.run()).ifPresent(run -> {
                endRun(run, failed.failure(), nowMillis);
                if (failed.failure().kind() == ErrorKind.UPSTREAM_DIED) {
                    // A broken answer reveals that the upstream died before the health check does.
                    emit(new AgentEffect.ReportSuspects(List.of(run.request)));
                }
            });
        } else if (event instanceof AgentEvent.UpstreamUnreachable unreachable) {
            findRunning(unreachable.run()).ifPresent(run -> {
                queue.onEnded(run.id(), nowMillis);
                history.recordNotRun(run.id());
                endNotRun(run, unreachable.failure(), nowMillis);
                submitQueued(nowMillis);
            });
        } else if (event instanceof AgentEvent.UpstreamDied) {
            onUpstreamDied(nowMillis);
        } else if (event instanceof AgentEvent.UpstreamAlive) {
            upstreamAlive = true;
            submitQueued(nowMillis);
        }
    }

    /**
     * Returns whether a drain is complete: nothing is queued or running, and every reader has acknowledged its answer
     * or was detached for too long. An answer that was sent but not acknowledged may be lost with its link.
     */
    public boolean isIdle() {
        return runs.values().stream().allMatch(run -> run.phase == Run.Phase.ENDED && run.readers.isEmpty());
    }

    /** Returns whether the upstream answered its last health check. */
    public boolean isUpstreamAlive() {
        return upstreamAlive;
    }

    /** Returns whether the agent was asked to shut down. */
    public boolean isDraining() {
        return draining;
    }

    /** Returns the queue in front of the upstream, for load reports and state dumps. */
    public EngineQueue queue() {
        return queue;
    }

    /** Returns whether a run started by the given request is stored. */
    public boolean containsRun(RequestId run) {
        return runs.containsKey(run);
    }

    /** Returns the number of stored runs, including those that ended. */
    public int runCount() {
        return runs.size();
    }

    private void onDispatch(AgentEvent.DispatchArrived arrived, boolean mayHold, long nowMillis) {
        RequestSpec request = arrived.request();
        if (arrived.expectedIncarnation() != incarnation) {
            // "Not run" cannot be proved: an earlier copy may have reached the other incarnation.
            fail(arrived, ErrorKind.UPSTREAM_LOST, "the dispatch names another incarnation of the agent");
            return;
        }
        if (history.wasRefused(arrived.dispatch())) {
            refuse(arrived, Failure.of(ErrorKind.NO_UPSTREAM, "an earlier copy was refused"), nowMillis);
            return;
        }
        if (arrived.attachTo().isEmpty() && tombstones.contains(request.id())) {
            refuse(arrived, Failure.of(ErrorKind.NO_UPSTREAM, "the request was reported as never received"), nowMillis);
            return;
        }
        Run current = runsByReader.get(request.id());
        if (current != null) {
            resendTo(arrived, current);
            return;
        }
        Run existing = runs.containsKey(request.id())
                ? runs.get(request.id())
                : request.key().map(runsByKey::get).orElse(null);
        if (existing != null) {
            join(arrived, existing, nowMillis);
            return;
        }
        if (arrived.attachTo().isPresent()) {
            RequestId claimant = arrived.attachTo().get();
            boolean unknown = !history.mayHaveRun(claimant, nowMillis) && !tombstones.contains(claimant);
            if (mayHold && unknown && earlyAttaches.add(arrived, nowMillis)) {
                return;
            }
            answerNeverReceived(arrived.link(), claimant, request.id(), arrived.dispatch(), nowMillis);
            return;
        }
        if (history.hasRun(request.id())) {
            fail(arrived, ErrorKind.OUTCOME_UNKNOWN, "the request ran and its outcome is no longer stored");
            return;
        }
        enqueue(arrived, nowMillis);
    }

    private void fail(AgentEvent.DispatchArrived arrived, ErrorKind kind, String message) {
        emit(new AgentEffect.SendFailed(
                arrived.link(), arrived.request().id(), arrived.dispatch(), Failure.of(kind, message)));
    }

    private void fail(AgentEvent.ReattachArrived arrived, ErrorKind kind, String message) {
        emit(new AgentEffect.SendFailed(
                arrived.link(), arrived.request(), arrived.dispatch(), Failure.of(kind, message)));
    }

    private void refuse(AgentEvent.DispatchArrived arrived, Failure failure, long nowMillis) {
        history.recordRefusal(arrived.request(), arrived.dispatch(), nowMillis);
        emit(new AgentEffect.SendNotRun(arrived.link(), arrived.request().id(), arrived.dispatch(), failure));
    }

    private Optional<Failure> refusal() {
        if (draining) {
            return Optional.of(Failure.of(ErrorKind.SHUTTING_DOWN, "the agent is shutting down"));
        }
        if (!upstreamAlive) {
            return Optional.of(Failure.of(ErrorKind.NO_UPSTREAM, "the upstream does not answer"));
        }
        return Optional.empty();
    }

    /**
     * Handles another copy of a dispatch, which starts no run. The reader moves to the link of the copy, and all output
     * that it has not acknowledged is sent again, since it may have been lost with the old link.
     */
    private void resendTo(AgentEvent.DispatchArrived arrived, Run run) {
        Run.Reader reader = run.readers.get(arrived.request().id());
        if (!reader.dispatch.equals(arrived.dispatch())) {
            fail(arrived, ErrorKind.IN_PROGRESS, "the request is already running under another dispatch");
            return;
        }
        reader.link = arrived.link();
        reader.sentBytes = reader.acknowledgedBytes;
        reader.endSent = false;
        emit(new AgentEffect.SendAccepted(reader.link, reader.request, reader.dispatch));
        outputSender.send(run);
    }

    private void join(AgentEvent.DispatchArrived arrived, Run run, long nowMillis) {
        if (run.request.fingerprint() != arrived.request().fingerprint()) {
            Failure failure = Failure.of(ErrorKind.IDEMPOTENCY_KEY_REUSED, "the key was used with a different body");
            refuse(arrived, failure, nowMillis);
            return;
        }
        addReader(run, arrived);
        outputSender.send(run);
    }

    private void addReader(Run run, AgentEvent.DispatchArrived arrived) {
        RequestId id = arrived.request().id();
        run.readers.put(id, new Run.Reader(id, arrived.dispatch(), arrived.link()));
        runsByReader.put(id, run);
        emit(new AgentEffect.SendAccepted(arrived.link(), id, arrived.dispatch()));
    }

    /**
     * Answers the asking request that the missing one was never received, and records a tombstone so that a late copy
     * does not run. Answers that the outcome is unknown if the missing request may have run or the tombstones are full.
     */
    private void answerNeverReceived(
            long link, RequestId missing, RequestId asking, DispatchId dispatch, long nowMillis) {
        boolean full = tombstones.size() >= limits.maxTombstones() && !tombstones.contains(missing);
        if (full || history.mayHaveRun(missing, nowMillis)) {
            emit(new AgentEffect.SendFailed(
                    link, asking, dispatch, Failure.of(ErrorKind.OUTCOME_UNKNOWN, "the request may have run here")));
            return;
        }
        tombstones.add(missing);
        emit(new AgentEffect.SendNeverReceived(link, asking, dispatch));
    }

    private void enqueue(AgentEvent.DispatchArrived arrived, long nowMillis) {
        Optional<Failure> refusal = refusal();
        if (refusal.isPresent()) {
            refuse(arrived, refusal.get(), nowMillis);
            return;
        }
        RequestSpec request = arrived.request();
        AdmissionResult result = queue.offer(request, nowMillis);
        if (result instanceof AdmissionResult.Refused refused) {
            refuse(arrived, refused.failure(), nowMillis);
            return;
        }
        Run run = new Run(request);
        runs.put(run.id(), run);
        request.key().ifPresent(key -> runsByKey.put(key, run));
        addReader(run, arrived);
        for (RequestSpec displaced : ((AdmissionResult.Queued) result).displaced()) {
            endNotRun(
                    runs.get(displaced.id()),
                    Failure.of(ErrorKind.DISPLACED, "displaced from the full queue by a request with precedence"),
                    nowMillis);
        }
        submitQueued(nowMillis);
    }

    private void submitQueued(long nowMillis) {
        if (!upstreamAlive) {
            return;
        }
        Optional<RequestSpec> next = queue.poll(nowMillis);
        while (next.isPresent()) {
            runs.get(next.get().id()).phase = Run.Phase.RUNNING;
            history.recordRun(next.get(), nowMillis);
            emit(new AgentEffect.SubmitToUpstream(next.get().id()));
            next = queue.poll(nowMillis);
        }
    }

    private void onReattach(AgentEvent.ReattachArrived arrived, long nowMillis) {
        if (arrived.expectedIncarnation() != incarnation) {
            fail(arrived, ErrorKind.UPSTREAM_LOST, "the agent was restarted while it held the request");
            return;
        }
        // A reader that was detached for too long was removed, but the run that its request started may still go on.
        Run run = runsByReader.getOrDefault(arrived.request(), runs.get(arrived.request()));
        if (run == null) {
            answerNeverReceived(arrived.link(), arrived.request(), arrived.request(), arrived.dispatch(), nowMillis);
            return;
        }
        if (arrived.offsetBytes() < run.trimmedBytes || arrived.offsetBytes() > run.producedBytes) {
            String message = "output from offset " + arrived.offsetBytes() + " is not stored";
            fail(arrived, ErrorKind.OUTPUT_INCOMPLETE, message);
            return;
        }
        Run.Reader reader = run.readers.computeIfAbsent(
                arrived.request(), id -> new Run.Reader(id, arrived.dispatch(), arrived.link()));
        runsByReader.put(arrived.request(), run);
        reader.link = arrived.link();
        reader.dispatch = arrived.dispatch();
        reader.sentBytes = arrived.offsetBytes();
        reader.acknowledgedBytes = Math.max(reader.acknowledgedBytes, arrived.offsetBytes());
        reader.endSent = false;
        emit(new AgentEffect.SendAccepted(reader.link, reader.request, reader.dispatch));
        outputSender.send(run);
    }

    private void onAcknowledge(AgentEvent.AcknowledgeArrived arrived) {
        Run run = runsByReader.get(arrived.request());
        if (run == null) {
            return;
        }
        Run.Reader reader = run.readers.get(arrived.request());
        reader.acknowledgedBytes =
                Math.min(run.producedBytes, Math.max(reader.acknowledgedBytes, arrived.offsetBytes()));
        outputSender.trim(run);
        if (reader.endSent && reader.acknowledgedBytes == run.producedBytes) {
            removeReader(run, reader);
            releaseIfDone(run);
            return;
        }
        outputSender.send(run);
    }

    private void onCancel(RequestId id, long nowMillis) {
        Run run = runsByReader.get(id);
        if (run == null) {
            return;
        }
        removeReader(run, run.readers.get(id));
        if (run.readers.isEmpty()) {
            stopWithoutReaders(run, nowMillis);
        }
        submitQueued(nowMillis);
    }

    /** Stops a run without readers, unless its outcome must be stored. */
    private void stopWithoutReaders(Run run, long nowMillis) {
        if (run.phase == Run.Phase.QUEUED) {
            queue.remove(run.id());
            removeRun(run);
            return;
        }
        if (run.phase == Run.Phase.RUNNING && run.request.idempotent()) {
            queue.onEnded(run.id(), nowMillis);
            emit(new AgentEffect.CancelInUpstream(run.id()));
            removeRun(run);
            return;
        }
        releaseIfDone(run);
    }

    private void onLinkLost(long link, long nowMillis) {
        earlyAttaches.onLinkLost(link);
        for (Run run : runs.values()) {
            for (Run.Reader reader : run.readers.values()) {
                if (reader.link == link) {
                    reader.link = Run.Reader.NO_LINK;
                    reader.detachedAtMillis = nowMillis;
                }
            }
        }
    }

    private void endRun(Run run, Failure failure, long nowMillis) {
        queue.onEnded(run.id(), nowMillis);
        run.end(failure, nowMillis);
        outputSender.send(run);
        releaseIfDone(run);
        submitQueued(nowMillis);
    }

    private void onUpstreamDied(long nowMillis) {
        upstreamAlive = false;
        List<RequestSpec> running = new ArrayList<>();
        for (Run run : List.copyOf(runs.values())) {
            if (run.phase == Run.Phase.QUEUED) {
                queue.remove(run.id());
                endNotRun(
                        run,
                        Failure.of(ErrorKind.NO_UPSTREAM, "the upstream died before it received the request"),
                        nowMillis);
            } else if (run.phase == Run.Phase.RUNNING) {
                running.add(run.request);
                Failure failure = Failure.of(ErrorKind.UPSTREAM_DIED, "the upstream died while it ran the request");
                endRun(run, failure, nowMillis);
            }
        }
        if (!running.isEmpty()) {
            emit(new AgentEffect.ReportSuspects(running));
        }
    }

    private void onTick(long nowMillis) {
        earlyAttaches.removeExpired(nowMillis).forEach(attach -> onDispatch(attach, false, nowMillis));
        for (RequestSpec expired : queue.removeExpired(nowMillis)) {
            endNotRun(
                    runs.get(expired.id()),
                    Failure.of(ErrorKind.DEADLINE_EXCEEDED_IN_QUEUE, "the request can no longer meet its deadline"),
                    nowMillis);
        }
        for (Run run : List.copyOf(runs.values())) {
            removeExpiredReaders(run, nowMillis);
            boolean expired = run.phase == Run.Phase.ENDED
                    && run.readers.isEmpty()
                    && nowMillis - run.endedAtMillis >= limits.outcomeRetentionMillis();
            if (expired) {
                removeRun(run);
            }
        }
        submitQueued(nowMillis);
    }

    private void removeExpiredReaders(Run run, long nowMillis) {
        for (Run.Reader reader : List.copyOf(run.readers.values())) {
            boolean expired = !reader.attached() && nowMillis - reader.detachedAtMillis >= limits.detachedLimitMillis();
            if (expired) {
                removeReader(run, reader);
                if (run.readers.isEmpty()) {
                    stopWithoutReaders(run, nowMillis);
                }
            }
        }
    }

    /** Reports a run as not run to all of its readers and removes it; the upstream must never have received it. */
    private void endNotRun(Run run, Failure failure, long nowMillis) {
        for (Run.Reader reader : run.readers.values()) {
            history.recordRefusal(run.request, reader.dispatch, nowMillis);
            if (reader.attached()) {
                emit(new AgentEffect.SendNotRun(reader.link, reader.request, reader.dispatch, failure));
            } else {
                // The entry reattaches later; the tombstone keeps the proof that the request did not run.
                tombstones.add(reader.request);
            }
        }
        removeRun(run);
    }

    private void removeReader(Run run, Run.Reader reader) {
        run.readers.remove(reader.request);
        runsByReader.remove(reader.request);
    }

    private void releaseIfDone(Run run) {
        if (run.phase != Run.Phase.ENDED || !run.readers.isEmpty()) {
            return;
        }
        if (!run.keepsAllOutput()) {
            removeRun(run);
            return;
        }
        limitOutcomes();
    }

    private void limitOutcomes() {
        if (runsByKey.size() <= limits.maxOutcomes()) {
            return;
        }
        runs.values().stream()
                .filter(run -> run.phase == Run.Phase.ENDED && run.readers.isEmpty())
                .findFirst()
                .ifPresent(this::removeRun);
    }

    private void removeRun(Run run) {
        runs.remove(run.id());
        run.readers.keySet().forEach(runsByReader::remove);
        run.request.key().ifPresent(key -> runsByKey.remove(key, run));
        emit(new AgentEffect.ReleaseRun(run.id()));
    }

    private Optional<Run> findRunning(RequestId id) {
        return Optional.ofNullable(runs.get(id)).filter(run -> run.phase == Run.Phase.RUNNING);
    }

    private void emit(AgentEffect effect) {
        effects.add(effect);
    }
}

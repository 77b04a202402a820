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
 * Decides for one agent what its upstream runs and what each entry is told. Holds the only memory of what this
 * incarnation ran; refuses what belongs to an older one. Not thread-safe.
 */
public final class AgentDispatcher {
    private final long incarnation;
    private final EngineQueue queue;
    private final AgentLimits limits;
    private final Map<RequestId, Run> runsByReader = new HashMap<>();
    private final Map<String, Run> runsByKey = new HashMap<>();
    private final Map<RequestId, Run> runs = new LinkedHashMap<>();
    private final Set<RequestId> tombstones = new LinkedHashSet<>();
    private final EarlyAttaches earlyAttaches = new EarlyAttaches();
    private final RunMemory memory;
    private final OutputSteps output;
    private List<AgentEffect> effects = new ArrayList<>();
    private boolean draining;
    private boolean upstreamAlive = true;

    private AgentDispatcher(long incarnation, EngineQueue queue, AgentLimits limits) {
        this.incarnation = incarnation;
        this.queue = Objects.requireNonNull(queue, "queue");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.memory = new RunMemory(limits.maxTombstones());
        this.output = new OutputSteps(limits.windowBytes(), this::emit);
    }

    /** Returns a dispatcher with no runs. */
    public static AgentDispatcher create(long incarnation, EngineQueue queue, AgentLimits limits) {
        return new AgentDispatcher(incarnation, queue, limits);
    }

    /** Returns the effects of an event, in the order in which they must be carried out. */
    public List<AgentEffect> handle(AgentEvent event, long nowMillis) {
        effects = new ArrayList<>();
        if (event instanceof AgentEvent.DispatchArrived arrived) {
            dispatch(arrived, true, nowMillis);
            earlyAttaches.take(arrived.request().id()).forEach(attach -> dispatch(attach, false, nowMillis));
        } else if (event instanceof AgentEvent.ReattachArrived arrived) {
            reattach(arrived, nowMillis);
        } else if (event instanceof AgentEvent.AcknowledgeArrived arrived) {
            acknowledge(arrived);
        } else if (event instanceof AgentEvent.CancelArrived arrived) {
            cancel(arrived.request(), nowMillis);
        } else if (event instanceof AgentEvent.LinkLost lost) {
            linkLost(lost.link(), nowMillis);
        } else if (event instanceof AgentEvent.Tick) {
            tick(nowMillis);
        } else if (event instanceof AgentEvent.DrainStarted) {
            draining = true;
        } else {
            handleUpstream(event, nowMillis);
        }
        return effects;
    }

    private void handleUpstream(AgentEvent event, long nowMillis) {
        if (event instanceof AgentEvent.UpstreamOutput produced) {
            running(produced.run()).ifPresent(run -> {
                run.producedBytes += produced.lengthBytes();
                output.send(run);
            });
        } else if (event instanceof AgentEvent.UpstreamFinished finished) {
            running(finished.run()).ifPresent(run -> ended(run, null, nowMillis));
        } else if (event instanceof AgentEvent.UpstreamFailed failed) {
            running(failed.run()).ifPresent(run -> {
                ended(run, failed.failure(), nowMillis);
                if (failed.failure().kind() == ErrorKind.UPSTREAM_DIED) {
                    // A broken answer shows the death before the health check does.
                    emit(new AgentEffect.ReportSuspects(List.of(run.request)));
                }
            });
        } else if (event instanceof AgentEvent.UpstreamUnreached unreached) {
            running(unreached.run()).ifPresent(run -> {
                queue.onEnded(run.id(), nowMillis);
                memory.didNotRun(run.id());
                dropUnrun(run, unreached.failure(), nowMillis);
                pump(nowMillis);
            });
        } else if (event instanceof AgentEvent.UpstreamDied) {
            upstreamDied(nowMillis);
        } else if (event instanceof AgentEvent.UpstreamAlive) {
            upstreamAlive = true;
            pump(nowMillis);
        }
    }

    /**
     * Returns whether a drain is complete: nothing is queued or running, and every reader has confirmed its answer or
     * its link has been lost for too long. An answer that was only sent may be lost with its link.
     */
    public boolean idle() {
        return runs.values().stream().allMatch(run -> run.phase == Run.Phase.ENDED && run.readers.isEmpty());
    }

    /** Returns whether the upstream answered its last health check. */
    public boolean upstreamAlive() {
        return upstreamAlive;
    }

    /** Returns whether the agent was asked to shut down. */
    public boolean draining() {
        return draining;
    }

    /** Returns the queue before the upstream, for load reports and state dumps. */
    public EngineQueue queue() {
        return queue;
    }

    /** Returns whether a run that the given request started is kept. */
    public boolean keeps(RequestId run) {
        return runs.containsKey(run);
    }

    /** Returns the number of runs that are kept, ended ones included. */
    public int keptRuns() {
        return runs.size();
    }

    private void dispatch(AgentEvent.DispatchArrived arrived, boolean mayWait, long nowMillis) {
        RequestSpec request = arrived.request();
        if (arrived.expectedIncarnation() != incarnation) {
            // An earlier copy may have reached the older incarnation, so "not run" would be a guess.
            fail(arrived, ErrorKind.UPSTREAM_LOST, "the dispatch is meant for another incarnation");
            return;
        }
        if (memory.wasRefused(arrived.dispatch())) {
            refuse(arrived, Failure.of(ErrorKind.NO_UPSTREAM, "the dispatch was refused before"), nowMillis);
            return;
        }
        if (arrived.attachTo().isEmpty() && tombstones.contains(request.id())) {
            refuse(arrived, Failure.of(ErrorKind.NO_UPSTREAM, "the request was declared as never received"), nowMillis);
            return;
        }
        Run own = runsByReader.get(request.id());
        if (own != null) {
            repeated(arrived, own);
            return;
        }
        Run joined = runs.containsKey(request.id())
                ? runs.get(request.id())
                : request.key().map(runsByKey::get).orElse(null);
        if (joined != null) {
            join(arrived, joined, nowMillis);
            return;
        }
        if (arrived.attachTo().isPresent()) {
            RequestId claimant = arrived.attachTo().get();
            boolean unknown = !memory.mayHaveRun(claimant, nowMillis) && !tombstones.contains(claimant);
            if (mayWait && unknown && earlyAttaches.add(arrived, nowMillis)) {
                return;
            }
            promiseNotToRun(arrived.link(), claimant, request.id(), arrived.dispatch(), nowMillis);
            return;
        }
        if (memory.hasRun(request.id())) {
            fail(arrived, ErrorKind.OUTCOME_UNKNOWN, "the request ran and its outcome is not kept");
            return;
        }
        enqueue(arrived, nowMillis);
    }

    private void fail(AgentEvent.DispatchArrived arrived, ErrorKind kind, String message) {
        emit(new AgentEffect.SendFailed(
                arrived.link(), arrived.request().id(), arrived.dispatch(), Failure.of(kind, message)));
    }

    private void refuse(AgentEvent.DispatchArrived arrived, Failure failure, long nowMillis) {
        memory.refused(arrived.request(), arrived.dispatch(), nowMillis);
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
     * A second copy of a dispatch starts nothing. The reader moves to the link on which it came and gets again what it
     * has not confirmed, since that may have been lost with the old link.
     */
    private void repeated(AgentEvent.DispatchArrived arrived, Run run) {
        Run.Reader reader = run.readers.get(arrived.request().id());
        if (!reader.dispatch.equals(arrived.dispatch())) {
            fail(arrived, ErrorKind.IN_PROGRESS, "the request runs under another dispatch");
            return;
        }
        reader.link = arrived.link();
        reader.sentBytes = reader.acknowledgedBytes;
        reader.endSent = false;
        emit(new AgentEffect.SendAccepted(reader.link, reader.request, reader.dispatch));
        output.send(run);
    }

    private void join(AgentEvent.DispatchArrived arrived, Run run, long nowMillis) {
        if (run.request.fingerprint() != arrived.request().fingerprint()) {
            Failure failure = Failure.of(ErrorKind.IDEMPOTENCY_KEY_REUSED, "the key was used with another body");
            refuse(arrived, failure, nowMillis);
            return;
        }
        addReader(run, arrived);
        output.send(run);
    }

    private void addReader(Run run, AgentEvent.DispatchArrived arrived) {
        RequestId id = arrived.request().id();
        run.readers.put(id, new Run.Reader(id, arrived.dispatch(), arrived.link()));
        runsByReader.put(id, run);
        emit(new AgentEffect.SendAccepted(arrived.link(), id, arrived.dispatch()));
    }

    /** Records that a request will never run here and says so, unless the memory for such promises is full. */
    private void promiseNotToRun(
            long link, RequestId promised, RequestId answered, DispatchId dispatch, long nowMillis) {
        boolean full = tombstones.size() >= limits.maxTombstones() && !tombstones.contains(promised);
        if (full || memory.mayHaveRun(promised, nowMillis)) {
            emit(new AgentEffect.SendFailed(
                    link, answered, dispatch, Failure.of(ErrorKind.OUTCOME_UNKNOWN, "the request may have run here")));
            return;
        }
        tombstones.add(promised);
        emit(new AgentEffect.SendUnseen(link, answered, dispatch));
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
            dropUnrun(
                    runs.get(displaced.id()),
                    Failure.of(ErrorKind.DISPLACED, "displaced by a request that goes first"),
                    nowMillis);
        }
        pump(nowMillis);
    }

    private void pump(long nowMillis) {
        if (!upstreamAlive) {
            return;
        }
        Optional<RequestSpec> next = queue.next(nowMillis);
        while (next.isPresent()) {
            runs.get(next.get().id()).phase = Run.Phase.RUNNING;
            memory.ran(next.get(), nowMillis);
            emit(new AgentEffect.SubmitToUpstream(next.get().id()));
            next = queue.next(nowMillis);
        }
    }

    private void reattach(AgentEvent.ReattachArrived arrived, long nowMillis) {
        if (arrived.expectedIncarnation() != incarnation) {
            emit(new AgentEffect.SendFailed(
                    arrived.link(),
                    arrived.request(),
                    arrived.dispatch(),
                    Failure.of(ErrorKind.UPSTREAM_LOST, "the agent was restarted while it held the request")));
            return;
        }
        // A request whose link was away for too long is no reader of its own run any more, which may still go on.
        Run run = runsByReader.getOrDefault(arrived.request(), runs.get(arrived.request()));
        if (run == null) {
            promiseNotToRun(arrived.link(), arrived.request(), arrived.request(), arrived.dispatch(), nowMillis);
            return;
        }
        if (arrived.offsetBytes() < run.trimmedBytes || arrived.offsetBytes() > run.producedBytes) {
            emit(new AgentEffect.SendFailed(
                    arrived.link(),
                    arrived.request(),
                    arrived.dispatch(),
                    Failure.of(ErrorKind.OUTPUT_INCOMPLETE, "output at the offset is not kept any more")));
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
        output.send(run);
    }

    private void acknowledge(AgentEvent.AcknowledgeArrived arrived) {
        Run run = runsByReader.get(arrived.request());
        if (run == null) {
            return;
        }
        Run.Reader reader = run.readers.get(arrived.request());
        reader.acknowledgedBytes =
                Math.min(run.producedBytes, Math.max(reader.acknowledgedBytes, arrived.offsetBytes()));
        output.trim(run);
        if (reader.endSent && reader.acknowledgedBytes == run.producedBytes) {
            removeReader(run, reader);
            releaseIfDone(run);
            return;
        }
        output.send(run);
    }

    private void cancel(RequestId id, long nowMillis) {
        Run run = runsByReader.get(id);
        if (run == null) {
            return;
        }
        removeReader(run, run.readers.get(id));
        if (run.readers.isEmpty()) {
            abandon(run, nowMillis);
        }
        pump(nowMillis);
    }

    /** Stops a run that nobody reads, unless its outcome must be kept. */
    private void abandon(Run run, long nowMillis) {
        if (run.phase == Run.Phase.QUEUED) {
            queue.remove(run.id());
            forget(run);
            return;
        }
        if (run.phase == Run.Phase.RUNNING && run.request.idempotent()) {
            queue.onEnded(run.id(), nowMillis);
            emit(new AgentEffect.CancelInUpstream(run.id()));
            forget(run);
            return;
        }
        releaseIfDone(run);
    }

    private void linkLost(long link, long nowMillis) {
        earlyAttaches.linkLost(link);
        for (Run run : runs.values()) {
            for (Run.Reader reader : run.readers.values()) {
                if (reader.link == link) {
                    reader.link = Run.Reader.NO_LINK;
                    reader.detachedAtMillis = nowMillis;
                }
            }
        }
    }

    private void ended(Run run, Failure failure, long nowMillis) {
        queue.onEnded(run.id(), nowMillis);
        run.end(failure, nowMillis);
        output.send(run);
        releaseIfDone(run);
        pump(nowMillis);
    }

    private void upstreamDied(long nowMillis) {
        upstreamAlive = false;
        List<RequestSpec> running = new ArrayList<>();
        for (Run run : List.copyOf(runs.values())) {
            if (run.phase == Run.Phase.QUEUED) {
                queue.remove(run.id());
                dropUnrun(
                        run,
                        Failure.of(ErrorKind.NO_UPSTREAM, "the upstream died before it got the request"),
                        nowMillis);
            } else if (run.phase == Run.Phase.RUNNING) {
                running.add(run.request);
                ended(
                        run,
                        Failure.of(ErrorKind.UPSTREAM_DIED, "the upstream died while it ran the request"),
                        nowMillis);
            }
        }
        if (!running.isEmpty()) {
            emit(new AgentEffect.ReportSuspects(running));
        }
    }

    private void tick(long nowMillis) {
        earlyAttaches.takeExpired(nowMillis).forEach(attach -> dispatch(attach, false, nowMillis));
        for (RequestSpec expired : queue.removeExpired(nowMillis)) {
            dropUnrun(
                    runs.get(expired.id()),
                    Failure.of(ErrorKind.DEADLINE_EXCEEDED_IN_QUEUE, "the deadline cannot be met any more"),
                    nowMillis);
        }
        for (Run run : List.copyOf(runs.values())) {
            dropDetachedReaders(run, nowMillis);
            boolean outlived = run.phase == Run.Phase.ENDED
                    && run.readers.isEmpty()
                    && nowMillis - run.endedAtMillis >= limits.outcomeRetentionMillis();
            if (outlived) {
                forget(run);
            }
        }
        pump(nowMillis);
    }

    private void dropDetachedReaders(Run run, long nowMillis) {
        for (Run.Reader reader : List.copyOf(run.readers.values())) {
            boolean late = !reader.attached() && nowMillis - reader.detachedAtMillis >= limits.detachedLimitMillis();
            if (late) {
                removeReader(run, reader);
                if (run.readers.isEmpty()) {
                    abandon(run, nowMillis);
                }
            }
        }
    }

    /** Tells every reader of a run that the upstream never saw it, and forgets it. */
    private void dropUnrun(Run run, Failure failure, long nowMillis) {
        for (Run.Reader reader : run.readers.values()) {
            memory.refused(run.request, reader.dispatch, nowMillis);
            if (reader.attached()) {
                emit(new AgentEffect.SendNotRun(reader.link, reader.request, reader.dispatch, failure));
            } else {
                // The entry asks again by reattaching and must then learn that the request did not run.
                tombstones.add(reader.request);
            }
        }
        forget(run);
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
            forget(run);
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
                .ifPresent(this::forget);
    }

    private void forget(Run run) {
        runs.remove(run.id());
        run.readers.keySet().forEach(runsByReader::remove);
        run.request.key().ifPresent(key -> runsByKey.remove(key, run));
        emit(new AgentEffect.ReleaseRun(run.id()));
    }

    private Optional<Run> running(RequestId id) {
        return Optional.ofNullable(runs.get(id)).filter(run -> run.phase == Run.Phase.RUNNING);
    }

    private void emit(AgentEffect effect) {
        effects.add(effect);
    }
}

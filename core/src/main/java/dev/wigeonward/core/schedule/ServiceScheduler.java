package dev.wigeonward.core.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.base.Preconditions;

/**
 * Scheduler that queues the requests for one service and places them on its upstreams. An upstream gets no more
 * requests than it runs concurrently, so that this scheduler determines the order of service rather than the order of
 * arrival at the upstream. Not thread-safe.
 */
public final class ServiceScheduler {
    /** Time for which an upstream gets no requests after it reported that it is full. */
    private static final long FULL_PAUSE_MILLIS = 60;
    /** Time after the end of a request of this entry in which only this entry knows that its slot is free. */
    private static final long OWN_SLOT_MILLIS = 50;
    /** Factor of the expected time by which an answer is a setback for the pace of its upstream. */
    private static final double SLOW_FACTOR = 3.0;

    private final UpstreamLoads upstreams = new UpstreamLoads();
    private final ServiceTimeModel timeModel = new ServiceTimeModel();
    private final SchedulerPolicies policies;
    private final WaitingOrder waiting;
    private final KeptPrompts keptPrompts;
    private final EligibleUpstreams eligible;
    private long queueSequence;

    private ServiceScheduler(SchedulerPolicies policies, KeptPrompts keptPrompts, VersionRestriction restriction) {
        this.policies = policies;
        this.waiting = policies.order();
        this.keptPrompts = keptPrompts;
        this.eligible = new EligibleUpstreams(upstreams.all(), restriction);
    }

    /**
     * Returns a scheduler without upstreams.
     *
     * @param policies policies of this service, which no other scheduler uses
     * @param keptPrompts estimate of the prompts that the upstreams of all services keep
     * @param restriction restriction of requests to some versions of the upstreams
     */
    public static ServiceScheduler create(
            SchedulerPolicies policies, KeptPrompts keptPrompts, VersionRestriction restriction) {
        return new ServiceScheduler(policies, keptPrompts, restriction);
    }

    /** Replaces the list of upstreams; the state of an upstream is kept if its lifetime and address are unchanged. */
    public void setUpstreams(Collection<Upstream> listed) {
        upstreams.replace(listed);
        upstreams.all().stream().filter(UpstreamLoad::takeEvacuationEnded).forEach(load -> policies.pace()
                .onRecovered(load.upstream()));
        policies.pace().setUpstreams(listed);
    }

    /**
     * Records that a lifetime of an upstream stated that it is leaving; it gets no further requests. Returns whether
     * this is new.
     */
    public boolean markLeaving(Upstream upstream) {
        return upstreams.find(upstream).map(UpstreamLoad::markLeaving).orElse(false);
    }

    /**
     * Records that an upstream asked for time: it gets no request before, and then one at a time until it answers.
     * Returns whether this makes the time longer.
     */
    public boolean askForTime(Upstream upstream, long untilMillis) {
        return upstreams
                .find(upstream)
                .map(load -> load.askForTime(untilMillis))
                .orElse(false);
    }

    /** Replaces the sum of the loads that other entries reported for an upstream; ignores unknown upstreams. */
    public void setPeerLoad(EntryLoad total) {
        UpstreamLoad load = upstreams.get(total.upstreamId());
        if (load != null) {
            load.setPeerLoad(total.requests(), total.promptTokens());
            policies.pace().setPeerRequests(total.upstreamId(), total.requests());
        }
    }

    /** Adopts the unit times observed by other entries where they are newer than those of this entry. */
    public void adoptNewerUnitTimes(Collection<ObservedUnitTime> unitTimes, long nowMillis) {
        upstreams.adoptNewerUnitTimes(unitTimes, nowMillis);
    }

    /** Returns the unit times of all upstreams that have one. */
    public List<ObservedUnitTime> unitTimes(long nowMillis) {
        return upstreams.unitTimes(nowMillis);
    }

    /** Returns the unit times that have changed notably since last returned here or adopted, to keep reports small. */
    public List<ObservedUnitTime> takeChangedUnitTimes(long nowMillis) {
        return upstreams.takeChangedUnitTimes(nowMillis);
    }

    /** Adds a request to the queue; {@link #decide} returns the decision on it. */
    public void offer(ScheduledRequest request) {
        Preconditions.checkArgument(
                request.objectiveMillis() > 0,
                "objectiveMillis of a request of kind %s must be positive but was %s",
                request.kind(),
                request.objectiveMillis());
        queueSequence++;
        request.setQueueSequence(queueSequence);
        waiting.add(request);
        policies.retryTime().onWaiting(request);
    }

    /** Removes a waiting request from the queue and returns whether it was waiting. */
    public boolean remove(ScheduledRequest request) {
        return waiting.remove(request);
    }

    /** Returns the decisions that are due: placements on free upstreams and refusals. */
    public List<Decision> decide(long nowMillis) {
        List<Decision> decisions = new ArrayList<>();
        if (waiting.size() == 0) {
            return decisions;
        }
        SchedulingRound round = new SchedulingRound(
                upstreams.all(),
                load -> timeModel.hasOverdueOutput(load, nowMillis),
                timeModel,
                policies.pace(),
                nowMillis);
        while (decideOne(round, decisions)) {
            // Each placement changes the loads that the next comparison uses, so requests are placed one at a time.
        }
        for (ScheduledRequest request : waiting.overdue(policies.refusal()::maxWaitMillis, nowMillis)) {
            refuse(request, RefusalReason.WAITED_TOO_LONG, decisions, nowMillis);
        }
        return decisions;
    }

    /** Makes at most one decision and returns whether it made one. */
    private boolean decideOne(SchedulingRound round, List<Decision> decisions) {
        long nowMillis = round.nowMillis();
        Optional<Placement> best = Optional.empty();
        for (ScheduledRequest request : waiting.candidates()) {
            if (!round.anyUpstream()) {
                refuse(request, RefusalReason.NO_UPSTREAM, decisions, nowMillis);
                return true;
            }
            if (isRefused(request, nowMillis)) {
                refuse(request, RefusalReason.SUSPECT_PART, decisions, nowMillis);
                return true;
            }
            if (request.isRestricted() && !eligible.anyLeft(request)) {
                refuse(request, RefusalReason.NO_UPSTREAM, decisions, nowMillis);
                return true;
            }
            if (round.anyUnusable() && returnsInMillis(request, nowMillis) > remainingWaitMillis(request, nowMillis)) {
                refuse(request, RefusalReason.UPSTREAMS_ASKED_FOR_TIME, decisions, nowMillis);
                return true;
            }
            if (best.isPresent() && !waiting.mayPass(request, best.get().request())) {
                break;
            }
            Optional<Placement> placement = findPlacement(round, request);
            // Within a kind, a request whose prompt is kept goes before earlier ones that would have to be read.
            if (placement.isPresent()
                    && (best.isEmpty()
                            || placement.get().keptTokens() > best.get().keptTokens())) {
                best = placement;
            } else if (placement.isEmpty()
                    && policies.refusal().isQueueTooLong(request, waiting.countAhead(request), round)) {
                refuse(request, RefusalReason.QUEUE_TOO_LONG, decisions, nowMillis);
                return true;
            }
        }
        if (best.isEmpty()) {
            return false;
        }
        place(best.get(), decisions, nowMillis);
        round.onPlaced(best.get().load());
        return true;
    }

    /** Returns whether no upstream is left for the request because of the versions that must not run it. */
    public boolean isRefused(ScheduledRequest request, long nowMillis) {
        return eligible.isRefused(request, nowMillis);
    }

    /**
     * Returns the time until the first upstream that the request may be sent to is back, if all of them asked for time,
     * and 0 otherwise.
     */
    public long returnsInMillis(ScheduledRequest request, long nowMillis) {
        return eligible.returnsInMillis(request, nowMillis);
    }

    private long remainingWaitMillis(ScheduledRequest request, long nowMillis) {
        return Math.max(0, policies.refusal().maxWaitMillis(request) - request.ageMillis(nowMillis));
    }

    private void place(Placement placement, List<Decision> decisions, long nowMillis) {
        ScheduledRequest request = placement.request();
        UpstreamLoad load = placement.load();
        occupySlot(placement, nowMillis);
        keptPrompts.onPlaced(load.upstream().lifetimeId(), request.prefixes());
        waiting.onPlaced(request, timeModel.expectedMillis(request));
        policies.refusal().onPlaced(request, nowMillis);
        policies.retryTime().onPlaced(request, nowMillis);
        decisions.add(new Decision.Placed(request, load.upstream()));
    }

    /** Records a placement by the coordinator unless this entry knows that the lifetime takes no request. */
    public GrantResult recordGrant(ScheduledRequest request, String lifetimeId, int keptTokens, long nowMillis) {
        UpstreamLoad load = upstreams.findAccepting(lifetimeId);
        if (load == null || !load.takesRequests(nowMillis)) {
            return load == null ? GrantResult.UNKNOWN_UPSTREAM : GrantResult.UPSTREAM_ASKED_FOR_TIME;
        }
        request.setExpectedEvents(timeModel.expectedEvents(request.expectedOutputTokens()));
        occupySlot(new Placement(request, load, keptTokens), nowMillis);
        return GrantResult.RECORDED;
    }

    /** Returns the fraction of the slots of available upstreams that appears free, or 1 if there are no slots. */
    public double freeSlotFraction(long nowMillis) {
        return new SchedulingRound(upstreams.all(), load -> false, timeModel, policies.pace(), nowMillis)
                .freeSlotFraction();
    }

    private void occupySlot(Placement placement, long nowMillis) {
        ScheduledRequest request = placement.request();
        UpstreamLoad load = placement.load();
        int tokensToRead = Math.max(0, request.promptTokens() - placement.keptTokens());
        double typicalMillis = request.isStreaming()
                ? timeModel.firstEventMillis(load.pendingPromptTokens() + tokensToRead)
                : timeModel.unitTimeMillis();
        request.recordPlacement(load, tokensToRead, timeModel.slowness(load), typicalMillis, nowMillis);
        load.add(request);
        policies.pace().onPlaced(load.upstream(), nowMillis);
    }

    private void refuse(ScheduledRequest request, RefusalReason reason, List<Decision> decisions, long nowMillis) {
        waiting.onRefused(request);
        long returnAfterMillis = reason == RefusalReason.QUEUE_TOO_LONG || reason == RefusalReason.WAITED_TOO_LONG
                ? policies.retryTime().planReturnMillis(request, waiting.size(), nowMillis)
                : 0;
        decisions.add(new Decision.Refused(request, reason, returnAfterMillis));
    }

    /**
     * Returns the placement of the request, or empty if it should wait. If all upstreams that may serve the request are
     * paused, returns the result of {@link EligibleUpstreams#findFallback}.
     */
    private Optional<Placement> findPlacement(SchedulingRound round, ScheduledRequest request) {
        request.setExpectedEvents(timeModel.expectedEvents(request.expectedOutputTokens()));
        boolean firstChoiceAvailable = eligible.hasFirstChoice(request);
        Optional<Placement> best = policies.choice()
                .choose(
                        request,
                        availableUpstreams(round, request, firstChoiceAvailable),
                        policies.refusal().maxWaitMillis(request),
                        round)
                .map(chosen -> new Placement(request, chosen.load(), chosen.keptTokens()));
        if (best.isEmpty() && round.anyUnusable() && eligible.noneUsable(request, firstChoiceAvailable)) {
            return eligible.findFallback(request, round::freeSlots, round.nowMillis())
                    .map(load -> new Placement(request, load, 0));
        }
        return best;
    }

    private List<AvailableUpstream> availableUpstreams(
            SchedulingRound round, ScheduledRequest request, boolean firstChoiceAvailable) {
        if (round.withFreeSlots().isEmpty() || waiting.isReservedForOthers(request, round.freeSlotFraction())) {
            return List.of();
        }
        Map<String, Integer> keptTokens = keptPrompts.keptTokens(request.prefixes());
        List<AvailableUpstream> available = new ArrayList<>();
        for (UpstreamLoad load : round.withFreeSlots()) {
            if (!EligibleUpstreams.mayServe(request, load, firstChoiceAvailable)) {
                continue;
            }
            int kept = keptTokens.getOrDefault(load.upstream().lifetimeId(), 0);
            if (hasSlot(round, load, kept > 0)) {
                available.add(new AvailableUpstream(load, kept));
            }
        }
        return available;
    }

    /** Returns whether the upstream has a free slot that this entry may take now. */
    private boolean hasSlot(SchedulingRound round, UpstreamLoad load, boolean keepsPrompt) {
        long nowMillis = round.nowMillis();
        int free = round.freeSlots(load);
        if (free <= 0) {
            return false;
        }
        if (load.returning()) {
            return !load.probing()
                    && policies.slotAccess().mayTake(load.upstream().id(), 1, nowMillis);
        }
        // Hardly any peer contends for the slot if it has to keep the prompt, or if a request of this entry has just
        // ended there.
        return keepsPrompt
                || nowMillis - load.lastEndedAtMillis() <= OWN_SLOT_MILLIS
                || policies.slotAccess().mayTake(load.upstream().id(), free, nowMillis);
    }

    /** Returns the number of requests of all entries at upstreams of other versions than the given one. */
    public int outstandingAtOtherVersions(String version) {
        return upstreams.outstandingAtOtherVersions(version);
    }

    /** Returns whether the list of upstreams contains the lifetime and does not state that it is leaving. */
    public boolean isListedAsReady(Upstream upstream) {
        UpstreamLoad load = upstreams.get(upstream.id());
        return load != null && load.upstream().sameLifetime(upstream) && !load.isLeaving();
    }

    /** Returns the upstreams that are excluded from placement until {@link #resume} is called for them. */
    public List<Upstream> suspended() {
        return upstreams.suspended();
    }

    /** Includes an upstream in placement again after it accepts connections. */
    public void resume(String upstreamId) {
        UpstreamLoad load = upstreams.get(upstreamId);
        if (load != null) {
            load.resume();
            policies.pace().onRecovered(load.upstream());
        }
    }

    /** Excludes an upstream from placement because it does not accept connections. */
    public void suspend(String upstreamId) {
        UpstreamLoad load = upstreams.get(upstreamId);
        if (load != null) {
            load.suspend();
        }
    }

    /** Records the first event of a stream and updates the estimated time to the first event with it. */
    public void onFirstEvent(ScheduledRequest request, long nowMillis) {
        UpstreamLoad load = placedLoad(request);
        load.onOutput(nowMillis);
        load.onAnswering(request);
        if (request.firstEventReceived()) {
            return;
        }
        reportAnswer(request, load, nowMillis);
        // Prompt tokens ahead may come from other entries, and kept tokens are estimated; both would skew the fit.
        if (request.promptTokensAhead() == 0 && request.promptTokensToRead() == request.promptTokens()) {
            double observed = nowMillis - request.placedAtMillis();
            timeModel.observeFirstEvent(request.promptTokens(), observed / timeModel.slowness(load));
        }
        request.markFirstEventReceived();
    }

    /** Records that the upstream sent output for the request. */
    public void onOutput(ScheduledRequest request, long nowMillis) {
        placedLoad(request).onOutput(nowMillis);
    }

    /** Updates the unit time of the upstream with the mean interval between several events of a stream. */
    public void onEventIntervals(ScheduledRequest request, double meanIntervalMillis, long nowMillis) {
        placedLoad(request).observeUnitTime(meanIntervalMillis, nowMillis);
    }

    /** Updates the estimate of the events per output token with the length of a completed stream. */
    public void onStreamLength(ScheduledRequest request, long events) {
        timeModel.observeLength(request.expectedOutputTokens(), events);
    }

    /** Returns the expected time from sending a placed request to the end of its answer, in milliseconds. */
    public double expectedMillis(ScheduledRequest request) {
        return timeModel.expectedMillis(request);
    }

    /** Records the outcome of a request and frees its slot at the upstream. */
    public void onEnded(ScheduledRequest request, Outcome outcome, long nowMillis) {
        UpstreamLoad load = placedLoad(request);
        load.remove(request, nowMillis);
        waiting.onEnded(request, nowMillis);
        switch (outcome) {
            case ANSWERED -> {
                load.onOutput(nowMillis);
                load.onAnswering(request);
                load.onSuccess();
                if (!request.isStreaming()) {
                    reportAnswer(request, load, nowMillis);
                    load.observeUnitTime(Math.max(1, nowMillis - request.placedAtMillis()), nowMillis);
                }
            }
            case FAILED -> onFailure(request, load, nowMillis);
            case FULL -> {
                load.pauseFor(FULL_PAUSE_MILLIS, nowMillis);
                reportSetback(request, load, PacePolicy.Setback.FULL, nowMillis);
            }
            case NOT_SENT -> {}
            case UNREACHABLE -> {
                onFailure(request, load, nowMillis);
                load.suspend();
            }
            case LEFT -> {
                if (timeModel.isOutputOverdue(request, load, nowMillis)) {
                    onFailure(request, load, nowMillis);
                    load.suspend();
                }
            }
            default -> throw new IllegalStateException("unknown outcome " + outcome);
        }
    }

    private void onFailure(ScheduledRequest request, UpstreamLoad load, long nowMillis) {
        load.onFailure();
        reportSetback(request, load, PacePolicy.Setback.FAILED, nowMillis);
    }

    /** The entry that sent a request reports its answer to the pace, so that no answer counts twice. */
    private void reportSetback(
            ScheduledRequest request, UpstreamLoad load, PacePolicy.Setback setback, long nowMillis) {
        if (!request.isOfPeer()) {
            policies.pace().onSetback(load.upstream(), setback, nowMillis);
        }
    }

    /** Tells the pace whether the upstream answered the request in about the time expected of it. */
    private void reportAnswer(ScheduledRequest request, UpstreamLoad load, long nowMillis) {
        double expectedMillis = request.relativeSlownessAtPlacement() * request.typicalResponseMillis();
        if (nowMillis - request.placedAtMillis() > SLOW_FACTOR * expectedMillis) {
            reportSetback(request, load, PacePolicy.Setback.SLOW, nowMillis);
        } else if (!request.isOfPeer()) {
            policies.pace().onGoodAnswer(load.upstream(), nowMillis);
        }
    }

    private static UpstreamLoad placedLoad(ScheduledRequest request) {
        return request.placedOn()
                .orElseThrow(() -> new IllegalStateException(
                        "request of kind " + request.kind() + " must be placed on an upstream but was never placed"));
    }

    /** Recomputes the typical unit time, relative to which upstreams are compared; called several times a second. */
    public void updateTypicalUnitTime() {
        timeModel.updateUnitTimeMillis(upstreams.all());
    }

    /** Returns the load of this entry at each upstream where it has requests, for reports to its peers. */
    public List<EntryLoad> ownLoads() {
        return upstreams.ownLoads();
    }

    /** Returns the number of waiting requests. */
    public int waitingCount() {
        return waiting.size();
    }

    /** Returns one line for each upstream with its load, slowness and failure ratio, for a dump. */
    public List<String> dumpLines(long nowMillis) {
        return upstreams.all().stream()
                .map(load -> load.dumpLine(timeModel.slowness(load), nowMillis))
                .sorted()
                .toList();
    }

    /** Possible placement of a request, with the tokens of its prompt that the upstream keeps. */
    private record Placement(ScheduledRequest request, UpstreamLoad load, int keptTokens) {}

    /** Outcome of a request at its upstream. */
    public enum Outcome {
        /** The upstream sent a complete answer. */
        ANSWERED,
        /** The upstream sent an error or an incomplete answer. */
        FAILED,
        /** The upstream reported that it did not run the request. */
        FULL,
        /** The request was not sent to the upstream, which says nothing about the upstream. */
        NOT_SENT,
        /** The connection failed, or the upstream sent nothing. */
        UNREACHABLE,
        /**
         * The caller disconnected or the deadline passed; the scheduler checks whether the upstream's output was
         * overdue.
         */
        LEFT
    }

    /** Load of one entry at one upstream: its requests and the prompt tokens of those without a first event. */
    public record EntryLoad(String upstreamId, int requests, long promptTokens) {
        /** Returns the load of an entry without requests at the upstream. */
        public static EntryLoad none(String upstreamId) {
            return new EntryLoad(upstreamId, 0, 0);
        }

        /** Returns the sum of two loads at this upstream. */
        public EntryLoad plus(EntryLoad other) {
            return new EntryLoad(upstreamId, requests + other.requests, promptTokens + other.promptTokens);
        }
    }
}

package dev.wigeonward.gateway.exchange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.wigeonward.core.rollout.ControllerEvent;
import dev.wigeonward.core.rollout.EvidenceCounters;
import dev.wigeonward.core.rollout.EvidenceRecorder;
import dev.wigeonward.core.rollout.ExposureLimit;
import dev.wigeonward.core.rollout.FinalRolloutState;
import dev.wigeonward.core.rollout.ModelVersion;
import dev.wigeonward.core.rollout.RolloutOrder;
import dev.wigeonward.core.rollout.RolloutState;
import dev.wigeonward.core.rollout.RolloutVersionSelector;
import dev.wigeonward.core.rollout.ServiceRollout;
import dev.wigeonward.core.rollout.StageView;
import dev.wigeonward.core.rollout.VersionConstraint;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.Upstream;

/**
 * State of the rollouts that operators have ordered: the choice of a version for each request, and evidence on the
 * outcomes. Runs on the event loop.
 */
public final class ServiceRollouts {
    /**
     * Load up to which an upstream counts as idle. All observations are recorded with load 0, so that loaded and idle
     * upstreams are not distinguished: a rollout is too short for two verdicts on each route.
     */
    private static final double LOAD_THRESHOLD = 1;
    /** Minimum time that counts as typical: of shorter times the clock and the network are a large part. */
    private static final long MIN_TYPICAL_MILLIS = 5;

    private final StageView view = new StageView();
    private final RolloutVersionSelector versionSelector = RolloutVersionSelector.of(view);
    private final EvidenceRecorder recorder = new EvidenceRecorder(LOAD_THRESHOLD);
    private final Map<String, ServiceRollout> unfinishedRollouts = new HashMap<>();

    private ExposureLimit exposureLimit;

    ServiceRollouts(ExposureLimit exposureLimit) {
        this.exposureLimit = exposureLimit;
    }

    /** Replaces the exposure limit; rollouts that have started keep theirs. */
    void setExposureLimit(ExposureLimit newLimit) {
        exposureLimit = newLimit;
    }

    /** Returns the stages and verdicts known to this entry. */
    public StageView view() {
        return view;
    }

    /** Records an operator's order; returns whether it was new. */
    public boolean addOrder(RolloutOrder order) {
        return versionSelector.addOrder(order);
    }

    /** Withdraws the service's order if it was written before the revision; returns whether there was one. */
    public boolean withdrawOrder(String service, long revision) {
        return versionSelector.withdrawOrder(service, revision);
    }

    /** Returns whether the operator has withdrawn the order of the rollout. */
    public boolean isWithdrawn(ServiceRollout rollout) {
        return versionSelector.isWithdrawn(rollout.order());
    }

    /** Records the state of a rollout that was read from the store. */
    public void recordState(String service, String target, RolloutState state, long revision) {
        versionSelector.addFinalState(service, target, state, revision);
    }

    /** Returns the final states of orders that the store lacks in the given era. */
    public List<FinalRolloutState> unstoredFinalStates(long era) {
        return versionSelector.unstoredFinalStates(era);
    }

    /** Returns whether the final state may replace the state that the store holds at the revision. */
    public boolean mayReplace(FinalRolloutState state, String storedTarget, RolloutState stored, long storedRevision) {
        return versionSelector.mayReplace(state, storedTarget, stored, storedRevision);
    }

    /** Returns the unfinished rollouts with the evidence that this entry has received on them. */
    public List<ServiceRollout> unfinishedRollouts() {
        Map<String, RolloutOrder> orders = versionSelector.unfinishedOrders();
        unfinishedRollouts.values().removeIf(rollout -> !rollout.order()
                .equals(orders.get(rollout.order().service())));
        orders.forEach((service, order) ->
                unfinishedRollouts.computeIfAbsent(service, name -> ServiceRollout.of(order, exposureLimit)));
        return new ArrayList<>(unfinishedRollouts.values());
    }

    /** Merges the counters of an entry since its start; the entry may be this one. */
    public void onEvidence(ControllerEvent.EvidenceReported report, long nowMillis) {
        ServiceRollout rollout = unfinishedRollouts.get(report.version().model());
        if (rollout != null) {
            rollout.add(report, nowMillis);
        }
    }

    /** Returns the counters of this entry since its start. */
    public Map<EvidenceRecorder.Key, EvidenceCounters> counters(long nowMillis) {
        return recorder.counters(nowMillis);
    }

    VersionConstraint versionConstraint(String service, String route, long nowMillis) {
        return versionSelector.choose(service, route, nowMillis);
    }

    /**
     * Returns an observation of a request that is being sent, or empty if the service has no unfinished rollout or the
     * upstream has no version.
     */
    Optional<EvidenceRecorder.Observation> startObservation(
            Upstream upstream, String route, ScheduledRequest scheduledRequest, long nowMillis) {
        if (upstream.version().isEmpty()
                || versionSelector.unfinishedOrder(upstream.service()).isEmpty()) {
            return Optional.empty();
        }
        ModelVersion version = new ModelVersion(upstream.service(), upstream.version());
        long typicalMillis = Math.max(MIN_TYPICAL_MILLIS, Math.round(scheduledRequest.typicalResponseMillis()));
        return Optional.of(recorder.start(version, route, 0, typicalMillis, nowMillis));
    }

    List<String> describe(long nowMillis) {
        List<String> lines = new ArrayList<>();
        for (ServiceRollout rollout : unfinishedRollouts()) {
            RolloutOrder order = rollout.order();
            lines.add("shift %s target=%s share=%d state=%s millis_left=%d"
                    .formatted(
                            order.service(),
                            order.targetVersion(),
                            view.shareBasisPoints(order.service(), nowMillis),
                            rollout.state(),
                            order.deadlineMillis() - nowMillis));
        }
        view.badVerdicts().forEach(verdict -> lines.add("bad " + verdict.version() + " " + verdict.reason()));
        return lines;
    }
}

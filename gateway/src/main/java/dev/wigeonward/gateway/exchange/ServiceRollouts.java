package dev.wigeonward.gateway.exchange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.wigeonward.core.rollout.ControllerEvent;
import dev.wigeonward.core.rollout.EvidenceCounters;
import dev.wigeonward.core.rollout.EvidenceRecorder;
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
 * State of the traffic shifts between versions that operators have ordered: the choice of a version for each request,
 * and evidence on the outcomes. Runs on the event loop.
 */
public final class ServiceRollouts {
    /**
     * Load up to which an upstream counts as idle. All observations are recorded with load 0, so that loaded and idle
     * upstreams are not distinguished: a shift is too short for two verdicts on each route.
     */
    private static final double LOAD_THRESHOLD = 1;

    private final StageView view = new StageView();
    private final RolloutVersionSelector choice = RolloutVersionSelector.of(view);
    private final EvidenceRecorder recorder = new EvidenceRecorder(LOAD_THRESHOLD);
    private final Map<String, ServiceRollout> shifts = new HashMap<>();

    ServiceRollouts() {}

    /** Returns the stages and verdicts known to this entry. */
    public StageView view() {
        return view;
    }

    /** Records an operator's order; returns whether it was new. */
    public boolean addOrder(RolloutOrder order) {
        return choice.addOrder(order);
    }

    /** Records the state of a shift that was read from the store. */
    public void recordState(String service, String target, RolloutState state, long revision) {
        choice.addFinalState(service, target, state, revision);
    }

    /** Returns the open shifts with the evidence that this entry has received on them. */
    public List<ServiceRollout> shifts() {
        Map<String, RolloutOrder> open = choice.unfinishedOrders();
        shifts.values()
                .removeIf(shift -> !shift.order().equals(open.get(shift.order().service())));
        open.forEach((service, order) -> shifts.computeIfAbsent(service, name -> ServiceRollout.of(order)));
        return new ArrayList<>(shifts.values());
    }

    /** Merges the counters of an entry since its start; the entry may be this one. */
    public void onEvidence(ControllerEvent.EvidenceReported report, long nowMillis) {
        ServiceRollout shift = shifts.get(report.version().model());
        if (shift != null) {
            shift.add(report, nowMillis);
        }
    }

    /** Returns the counters of this entry since its start. */
    public Map<EvidenceRecorder.Key, EvidenceCounters> counters(long nowMillis) {
        return recorder.counters(nowMillis);
    }

    VersionConstraint bound(String service, String route, long nowMillis) {
        return choice.choose(service, route, nowMillis);
    }

    /**
     * Returns an observation of a request that is being sent, or empty if the service has no open shift or the upstream
     * no version.
     */
    Optional<EvidenceRecorder.Observation> started(
            Upstream upstream, String route, ScheduledRequest demand, long nowMillis) {
        if (upstream.version().isEmpty()
                || choice.unfinishedOrder(upstream.service()).isEmpty()) {
            return Optional.empty();
        }
        ModelVersion version = new ModelVersion(upstream.service(), upstream.version());
        long usualMillis = Math.max(1, Math.round(demand.typicalResponseMillis()));
        return Optional.of(recorder.start(version, route, 0, usualMillis, nowMillis));
    }

    List<String> describe(long nowMillis) {
        List<String> lines = new ArrayList<>();
        for (ServiceRollout shift : shifts()) {
            RolloutOrder order = shift.order();
            lines.add("shift %s target=%s share=%d state=%s millis_left=%d"
                    .formatted(
                            order.service(),
                            order.targetVersion(),
                            view.shareBasisPoints(order.service(), nowMillis),
                            shift.state(),
                            order.deadlineMillis() - nowMillis));
        }
        view.badVerdicts().forEach(verdict -> lines.add("bad " + verdict.version() + " " + verdict.reason()));
        return lines;
    }
}

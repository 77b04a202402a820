package dev.wigeonward.measure.moves;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.wigeonward.core.order.Order;
import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerEvent;
import dev.wigeonward.core.rollout.ControllerEvent.EvidenceReported;
import dev.wigeonward.core.rollout.ControllerStages;
import dev.wigeonward.core.rollout.EvidenceCounters;
import dev.wigeonward.core.rollout.EvidenceRecorder;
import dev.wigeonward.core.rollout.ModelVersion;
import dev.wigeonward.core.rollout.Stage;

/**
 * Baseline for comparison: a rollout with the same shares at fixed times, which rolls back when at least 5% of the new
 * version's requests failed in a window of 30 s. It needs no store and never stops, so store outages and lost
 * controllers do not affect it.
 */
final class FixedRollout implements SimulatedRollout {
    /** Fencing number that the store reports to agents, so that they accept orders although there is no controller. */
    static final long FENCING_NUMBER = 1;

    private static final int[] SHARES_BASIS_POINTS = {200, 1_000, 2_500, 5_000, 10_000};
    private static final long STAGE_MILLIS = 100_000;
    private static final long LOADED_MILLIS = 30_000;
    private static final long WINDOW_MILLIS = 30_000;
    private static final long RENEW_MILLIS = 2_000;
    private static final double FAILURE_LIMIT = 0.05;
    private static final int MIN_REQUESTS = 10;
    private static final ModelVersion NEW = new ModelVersion(RolloutCase.MODEL, RolloutCase.NEW);

    private final List<SimulatedAgent> agents;
    private final Map<String, EvidenceCounters> lastCounters = new HashMap<>();
    private long windowRequests;
    private long windowFailures;
    private long windowStartMillis;
    private long sequence;
    private boolean ordered;
    private boolean bad;

    FixedRollout(List<SimulatedAgent> agents) {
        this.agents = agents;
    }

    @Override
    public void report(List<ControllerEvent> events, long nowMillis) {
        for (ControllerEvent event : events) {
            if (event instanceof EvidenceReported reported && reported.version().equals(NEW)) {
                EvidenceRecorder.Key key = new EvidenceRecorder.Key(reported.version(), reported.cell());
                String source = reported.upstreamId() + "/" + reported.incarnation() + "/" + key;
                EvidenceCounters before = lastCounters.put(source, reported.counters());
                windowRequests += reported.counters().requests() - (before == null ? 0 : before.requests());
                windowFailures += reported.counters().failures() - (before == null ? 0 : before.failures());
            }
        }
    }

    @Override
    public void step(long nowMillis, Publisher publisher) {
        if (!ordered) {
            ordered = true;
            agents.forEach(agent -> agent.receive(
                    new Order(
                            FENCING_NUMBER,
                            "load/" + agent.id(),
                            Order.Kind.LOAD,
                            RolloutCase.MODEL,
                            RolloutCase.NEW,
                            ""),
                    nowMillis));
        }
        if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
            boolean tooManyFailures =
                    windowRequests >= MIN_REQUESTS && windowFailures >= FAILURE_LIMIT * windowRequests;
            if (tooManyFailures && !bad) {
                bad = true;
                publisher.publish(new BadVerdict(NEW, "5% failures"));
                publish(0, publisher);
            }
            windowRequests = 0;
            windowFailures = 0;
            windowStartMillis = nowMillis;
        }
        if (nowMillis % RENEW_MILLIS == 0 && nowMillis >= LOADED_MILLIS) {
            int stage = (int) Math.min(SHARES_BASIS_POINTS.length - 1, (nowMillis - LOADED_MILLIS) / STAGE_MILLIS);
            publish(bad ? 0 : SHARES_BASIS_POINTS[stage], publisher);
        }
    }

    private void publish(int shareBasisPoints, Publisher publisher) {
        sequence++;
        Stage stage = new Stage(RolloutCase.MODEL, RolloutCase.OLD, RolloutCase.NEW, shareBasisPoints, 10_000, true);
        publisher.publish(new ControllerStages(1, sequence, List.of(stage)));
    }
}

package dev.wigeonward.gateway.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.core.revision.StoreRevision;
import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerEvent;
import dev.wigeonward.core.rollout.ControllerStages;
import dev.wigeonward.core.rollout.RolloutOrder;
import dev.wigeonward.core.rollout.RolloutState;
import dev.wigeonward.core.rollout.ServiceRollout;
import dev.wigeonward.core.rollout.Stage;
import dev.wigeonward.exchange.FactSync;
import dev.wigeonward.gateway.event.EventLog;
import dev.wigeonward.gateway.exchange.GatewayDispatcher;
import dev.wigeonward.gateway.exchange.ServiceRollouts;
import dev.wigeonward.gateway.port.ControllerStore;
import io.netty.channel.EventLoop;

/**
 * Periodic task that executes the rollouts ordered by operators. Each entry collects evidence and publishes bad
 * verdicts on its own, so that a bad version loses its requests even while there is no controller. The lease holder
 * decides on the share and writes the state to the store. Runs on the event loop.
 */
public final class ServiceRolloutController {
    private static final long TICK_MILLIS = 100;
    /** Interval between publications of unchanged stages, of which several fit into the validity of a stage. */
    private static final long PUBLISH_MILLIS = 400;
    /** Time for which a stage is valid at an entry that receives no further publication of the controller. */
    private static final long STAGE_LEASE_MILLIS = 1_500;

    private final GatewayDispatcher dispatcher;
    private final ServiceRollouts rollouts;
    private final FactSync facts;
    private final ControllerStore store;
    private final EventLog log;
    private final String ownName;
    private final Map<String, RolloutState> writtenStates = new HashMap<>();
    private final Map<String, Boolean> pendingWrites = new HashMap<>();
    private List<Stage> publishedStages = List.of();
    private long publishedAtMillis;
    private long sequence;
    /** Era of the store in which the written states were written. */
    private long writtenEra;

    private ServiceRolloutController(
            GatewayDispatcher dispatcher, FactSync facts, ControllerStore store, EventLog log, String ownName) {
        this.dispatcher = dispatcher;
        this.rollouts = dispatcher.rollouts();
        this.facts = facts;
        this.store = store;
        this.log = log;
        this.ownName = ownName;
    }

    /** Schedules the task on the event loop of the entry with the given name. */
    public static void start(
            GatewayDispatcher dispatcher,
            FactSync facts,
            ControllerStore store,
            EventLog log,
            String ownName,
            EventLoop loop) {
        ServiceRolloutController task = new ServiceRolloutController(dispatcher, facts, store, log, ownName);
        loop.scheduleAtFixedRate(
                dispatcher.telemetry().guard("rollout", task::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        List<ServiceRollout> unfinished = rollouts.unfinishedRollouts();
        store.setLeaseWanted(!unfinished.isEmpty());
        if (unfinished.isEmpty()) {
            writtenStates.clear();
            return;
        }
        long now = dispatcher.millis();
        rollouts.counters(now)
                .forEach((key, counters) -> rollouts.onEvidence(
                        new ControllerEvent.EvidenceReported(ownName, 0, key.version(), key.cell(), counters), now));
        for (ServiceRollout rollout : unfinished) {
            if (!isBad(rollout)) {
                rollout.evaluate(now).ifPresent(this::publish);
            }
        }
        OptionalLong leaseFencingNumber = store.fencingNumber();
        if (leaseFencingNumber.isPresent()) {
            control(unfinished, leaseFencingNumber.getAsLong(), now);
            return;
        }
        for (ServiceRollout rollout : unfinished) {
            rollout.follow(rollouts.view().currentStage(rollout.order().service(), now), now);
        }
    }

    private boolean isBad(ServiceRollout rollout) {
        RolloutOrder order = rollout.order();
        return rollouts.view().isBad(order.service(), order.targetVersion());
    }

    private void publish(BadVerdict verdict) {
        log.warning("version_bad", "version=" + verdict.version() + " reason=" + verdict.reason());
        facts.publishVerdict(verdict);
    }

    private void control(List<ServiceRollout> unfinished, long leaseFencingNumber, long nowMillis) {
        long era = StoreRevision.ofNumber(leaseFencingNumber).era();
        if (era != writtenEra) {
            // The copy from which the store has returned may lack the states.
            writtenEra = era;
            writtenStates.clear();
        }
        for (ServiceRollout rollout : unfinished) {
            RolloutOrder order = rollout.order();
            if (writtenStates.get(key(order)) != RolloutState.COMPLETED) {
                rollout.advance(
                        isBad(rollout) || rollouts.isWithdrawn(rollout),
                        dispatcher.outstandingAtOtherVersions(order.service(), order.targetVersion()),
                        nowMillis);
            }
            writeState(rollout);
        }
        List<Stage> stages = unfinished.stream()
                .map(rollout -> rollout.stage(STAGE_LEASE_MILLIS, nowMillis))
                .toList();
        if (!stages.equals(publishedStages) || nowMillis - publishedAtMillis >= PUBLISH_MILLIS) {
            publishedStages = stages;
            publishedAtMillis = nowMillis;
            sequence++;
            facts.publishStages(new ControllerStages(leaseFencingNumber, sequence, stages), nowMillis);
        }
    }

    private static String key(RolloutOrder order) {
        return order.service() + "/" + order.revision();
    }

    private void writeState(ServiceRollout rollout) {
        RolloutOrder order = rollout.order();
        String key = key(order);
        RolloutState state = rollout.state();
        RolloutState written = writtenStates.get(key);
        // Operators act on a completed state at once, so it is never replaced.
        if (state == written || written == RolloutState.COMPLETED || pendingWrites.containsKey(key)) {
            return;
        }
        pendingWrites.put(key, true);
        store.write(order, state, done -> {
            pendingWrites.remove(key);
            if (done) {
                writtenStates.put(key, state);
                log.info(
                        "shift",
                        "service=" + order.service() + " target=" + order.targetVersion() + " state=" + state
                                + " order=" + order.revision()
                                + (rollout.reason().isEmpty() ? "" : " reason=" + rollout.reason()));
            }
        });
    }
}

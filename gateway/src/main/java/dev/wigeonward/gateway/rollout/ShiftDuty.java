package dev.wigeonward.gateway.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerEvent;
import dev.wigeonward.core.rollout.ControllerStages;
import dev.wigeonward.core.rollout.ShiftOrder;
import dev.wigeonward.core.rollout.ShiftState;
import dev.wigeonward.core.rollout.Stage;
import dev.wigeonward.core.rollout.TrafficShift;
import dev.wigeonward.exchange.FactExchange;
import dev.wigeonward.gateway.event.EventLog;
import dev.wigeonward.gateway.exchange.DirectPath;
import dev.wigeonward.gateway.exchange.Versions;
import dev.wigeonward.gateway.port.ControllerStore;
import io.netty.channel.EventLoop;

/**
 * Periodic task that executes the traffic shifts ordered by operators. Each entry collects evidence and publishes bad
 * verdicts on its own, so that a bad version loses its requests even while there is no controller. The lease holder
 * decides on the share and writes the state to the store. Runs on the event loop.
 */
public final class ShiftDuty {
    private static final long TICK_MILLIS = 100;
    /** Interval between publications of unchanged stages, of which several fit into the validity of a stage. */
    private static final long PUBLISH_MILLIS = 400;
    /** Time for which a stage is valid at an entry that receives no further publication of the controller. */
    private static final long STAGE_LEASE_MILLIS = 1_500;

    private final DirectPath path;
    private final Versions versions;
    private final FactExchange facts;
    private final ControllerStore store;
    private final EventLog log;
    private final String ownName;
    private final Map<String, ShiftState> writtenStates = new HashMap<>();
    private final Map<String, Boolean> pendingWrites = new HashMap<>();
    private List<Stage> publishedStages = List.of();
    private long publishedAtMillis;
    private long sequence;

    private ShiftDuty(DirectPath path, FactExchange facts, ControllerStore store, EventLog log, String ownName) {
        this.path = path;
        this.versions = path.versions();
        this.facts = facts;
        this.store = store;
        this.log = log;
        this.ownName = ownName;
    }

    /** Schedules the task on the event loop of the entry with the given name. */
    public static void start(
            DirectPath path, FactExchange facts, ControllerStore store, EventLog log, String ownName, EventLoop loop) {
        ShiftDuty task = new ShiftDuty(path, facts, store, log, ownName);
        loop.scheduleAtFixedRate(task::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        List<TrafficShift> shifts = versions.shifts();
        store.seek(!shifts.isEmpty());
        if (shifts.isEmpty()) {
            writtenStates.clear();
            return;
        }
        long now = path.millis();
        versions.counters(now)
                .forEach((key, counters) -> versions.onEvidence(
                        new ControllerEvent.EvidenceReported(ownName, 0, key.version(), key.cell(), counters), now));
        for (TrafficShift shift : shifts) {
            if (!isBad(shift)) {
                shift.verdict(now).ifPresent(this::publish);
            }
        }
        OptionalLong leaseFencingNumber = store.fencingNumber();
        if (leaseFencingNumber.isPresent()) {
            control(shifts, leaseFencingNumber.getAsLong(), now);
        }
    }

    private boolean isBad(TrafficShift shift) {
        ShiftOrder order = shift.order();
        return versions.view().isBad(order.service(), order.target());
    }

    private void publish(BadVerdict verdict) {
        facts.publishVerdict(verdict);
    }

    private void control(List<TrafficShift> shifts, long leaseFencingNumber, long nowMillis) {
        for (TrafficShift shift : shifts) {
            ShiftOrder order = shift.order();
            shift.advance(isBad(shift), path.outstandingAtOthers(order.service(), order.target()), nowMillis);
            writeState(shift);
        }
        List<Stage> stages =
                shifts.stream().map(shift -> shift.stage(STAGE_LEASE_MILLIS)).toList();
        if (!stages.equals(publishedStages) || nowMillis - publishedAtMillis >= PUBLISH_MILLIS) {
            publishedStages = stages;
            publishedAtMillis = nowMillis;
            sequence++;
            facts.publishStages(new ControllerStages(leaseFencingNumber, sequence, stages), nowMillis);
        }
    }

    private void writeState(TrafficShift shift) {
        ShiftOrder order = shift.order();
        String key = order.service() + "/" + order.revision();
        ShiftState state = shift.state();
        if (state == writtenStates.get(key) || pendingWrites.containsKey(key)) {
            return;
        }
        pendingWrites.put(key, true);
        store.write(order, state, done -> {
            pendingWrites.remove(key);
            if (done) {
                writtenStates.put(key, state);
                log.info(
                        "shift",
                        "service=" + order.service() + " target=" + order.target() + " state=" + state + " order="
                                + order.revision());
            }
        });
    }
}

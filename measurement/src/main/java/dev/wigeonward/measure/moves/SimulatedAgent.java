package dev.wigeonward.measure.moves;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongSupplier;

import dev.wigeonward.core.order.Order;
import dev.wigeonward.core.order.OrderEffect;
import dev.wigeonward.core.order.OrderEvent;
import dev.wigeonward.core.order.OrderFence;
import dev.wigeonward.core.rollout.ControllerEvent;
import dev.wigeonward.core.rollout.EvidenceRecorder;
import dev.wigeonward.core.rollout.ModelVersion;
import dev.wigeonward.core.rollout.UpstreamVersions;

/** A simulated agent with an engine that has room for two versions. */
final class SimulatedAgent {
    private static final double LOAD_THRESHOLD = 0.8;
    private static final double PEAK_LOAD = 0.9;
    private static final double USUAL_LOAD = 0.5;
    private static final double PEAK_SLOWDOWN = 1.4;
    private static final double BURST_SLOWDOWN = 1.5;
    private static final double BURST_FAILURE_SHARE = 0.05;
    private static final double PEAK_FAILURE_SHARE = 0.005;
    private static final int MAX_VERSIONS = 2;
    private static final ModelVersion OLD = new ModelVersion(RolloutCase.MODEL, RolloutCase.OLD);
    private static final ModelVersion NEW = new ModelVersion(RolloutCase.MODEL, RolloutCase.NEW);

    private final String id;
    private final CaseScript script;
    private final SplittableRandom random;
    /** Supplies the fencing number in the store, or a negative number while the store is down. */
    private final LongSupplier storedFencingNumber;

    private final Set<String> versions = new TreeSet<>();
    private final TreeMap<Long, List<Order>> ordersByEnd = new TreeMap<>();
    private final TreeMap<Long, List<RunningRequest>> requestsByEnd = new TreeMap<>();
    private OrderFence orderFence = new OrderFence();
    private EvidenceRecorder recorder = new EvidenceRecorder(LOAD_THRESHOLD);
    private long incarnation = 1;
    private boolean peak;
    private boolean failureBurst;
    private boolean slowBurst;

    SimulatedAgent(String id, CaseScript script, SplittableRandom random, LongSupplier storedFencingNumber) {
        this.id = id;
        this.script = script;
        this.random = random;
        this.storedFencingNumber = storedFencingNumber;
        versions.add(RolloutCase.OLD);
    }

    String id() {
        return id;
    }

    boolean offers(String version) {
        return versions.contains(version);
    }

    Set<String> versions() {
        return Set.copyOf(versions);
    }

    UpstreamVersions description() {
        return new UpstreamVersions(id, RolloutCase.MODEL, versions, MAX_VERSIONS);
    }

    /** Starts a request, whose outcome is recorded when it ends. */
    void startRequest(Route route, String version, long nowMillis) {
        boolean isNew = version.equals(RolloutCase.NEW);
        boolean bad = isNew && script.isBadNow(route.name(), nowMillis);
        double failureShare = script.baseFailureShare()
                + (peak ? PEAK_FAILURE_SHARE : 0)
                + (failureBurst ? BURST_FAILURE_SHARE : 0)
                + (bad ? script.addedFailureShare() : 0);
        double factor = (peak ? PEAK_SLOWDOWN : 1)
                * (slowBurst ? BURST_SLOWDOWN : 1)
                * (isNew ? script.harmlessSlowdown() : 1)
                * (bad ? script.slowdown() : 1);
        double elapsedMillis = route.serviceMillis() * factor * Math.exp(script.spread() * random.nextGaussian());
        int status = random.nextDouble() < failureShare ? 500 : 200;
        long endMillis = nowMillis + (long) elapsedMillis / RolloutCase.STEP_MILLIS * RolloutCase.STEP_MILLIS;
        double load = peak ? PEAK_LOAD : USUAL_LOAD;
        EvidenceRecorder.Observation observation =
                recorder.start(isNew ? NEW : OLD, route.name(), load, route.serviceMillis(), nowMillis);
        requestsByEnd
                .computeIfAbsent(endMillis, any -> new ArrayList<>())
                .add(new RunningRequest(observation, status, nowMillis + Math.round(elapsedMillis)));
    }

    /** Advances to the given time and returns the events that the agent reports to the controller. */
    List<ControllerEvent> step(long nowMillis) {
        peak = script.isUnderLoad(nowMillis);
        failureBurst = Interval.anyContains(script.failureBursts(), nowMillis);
        slowBurst = Interval.anyContains(script.slowBursts(), nowMillis);
        while (!requestsByEnd.isEmpty() && requestsByEnd.firstKey() <= nowMillis) {
            requestsByEnd.pollFirstEntry().getValue().forEach(RunningRequest::end);
        }
        List<ControllerEvent> events = new ArrayList<>();
        while (!ordersByEnd.isEmpty() && ordersByEnd.firstKey() <= nowMillis) {
            for (Order order : ordersByEnd.pollFirstEntry().getValue()) {
                finish(order, events);
            }
        }
        return events;
    }

    /** Receives an order and returns the agent's immediate answers. */
    List<ControllerEvent> receive(Order order, long nowMillis) {
        List<ControllerEvent> answers = new ArrayList<>();
        perform(orderFence.handle(new OrderEvent.OrderReceived(order)), nowMillis, answers);
        return answers;
    }

    /** Returns reports of the counters since the agent's start. */
    List<ControllerEvent> evidence(long nowMillis) {
        List<ControllerEvent> events = new ArrayList<>();
        recorder.counters(nowMillis)
                .forEach((key, counters) -> events.add(
                        new ControllerEvent.EvidenceReported(id, incarnation, key.version(), key.cell(), counters)));
        return events;
    }

    /** Restarts the agent. The engine keeps its versions; orders and requests in progress are lost. */
    void restart() {
        incarnation++;
        orderFence = new OrderFence();
        recorder = new EvidenceRecorder(LOAD_THRESHOLD);
        ordersByEnd.clear();
        requestsByEnd.clear();
    }

    private void perform(List<OrderEffect> effects, long nowMillis, List<ControllerEvent> answers) {
        for (OrderEffect effect : effects) {
            if (effect instanceof OrderEffect.ReadFencingNumber) {
                long number = storedFencingNumber.getAsLong();
                OrderEvent read =
                        number < 0 ? new OrderEvent.StoreUnavailable() : new OrderEvent.FencingNumberRead(number);
                perform(orderFence.handle(read), nowMillis, answers);
            } else if (effect instanceof OrderEffect.RunOrder run) {
                long millis = run.order().kind() == Order.Kind.LOAD ? random.nextLong(8_000, 15_000) : 1_000;
                ordersByEnd
                        .computeIfAbsent(nowMillis + millis, any -> new ArrayList<>())
                        .add(run.order());
            } else if (effect instanceof OrderEffect.Answer answer) {
                answers.add(new ControllerEvent.OrderAnswered(answer.orderId(), answer.result()));
            }
        }
    }

    private void finish(Order order, List<ControllerEvent> events) {
        if (order.kind() == Order.Kind.LOAD) {
            versions.add(order.version());
        } else {
            versions.remove(order.version());
        }
        perform(orderFence.handle(new OrderEvent.EngineFinished(order.orderId(), "")), 0, events);
        events.add(new ControllerEvent.UpstreamReported(description()));
    }

    private record RunningRequest(EvidenceRecorder.Observation observation, int status, long endMillis) {
        void end() {
            observation.answered(status, endMillis);
        }
    }
}

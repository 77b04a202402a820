package dev.wigeonward.core.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import dev.wigeonward.core.order.Order;
import dev.wigeonward.core.order.OrderResult;
import dev.wigeonward.core.rollout.ControllerEvent.WriteOutcome;

import static org.assertj.core.api.Assertions.assertThat;

/** Test harness for one controller at a time with a store, engines and requests, on a clock that the test advances. */
final class ControllerHarness {
    static final RolloutSettings SETTINGS = new RolloutSettings(
            List.of(1_000, 2_500, 5_000, 10_000), 1, 5_000, 10_000, 20_000, 60_000, 5_000, 2_000, 1_000, 30_000);
    private static final int REQUESTS_PER_SECOND = 1_000;

    /** A controller, or a faulty variant that wraps it. */
    interface Controller {
        List<ControllerEffect> handle(ControllerEvent event, long nowMillis);
    }

    enum Store {
        UP,
        DOWN,
        LOSES_REPLIES
    }

    final Map<String, StoredRecord> records = new TreeMap<>();
    final Set<String> recordedOrderIds = new HashSet<>();
    final List<Order> sentOrders = new ArrayList<>();
    final List<RolloutReport> reports = new ArrayList<>();
    final List<BadVerdict> verdicts = new ArrayList<>();
    final Map<String, UpstreamVersions> upstreams = new TreeMap<>();
    final Map<String, Double> failureShareByVersion = new HashMap<>();
    ControllerStages published = new ControllerStages(0, 0, List.of());
    Store store = Store.UP;
    List<RolloutRule> rules = List.of();
    long nowMillis;
    private Controller controller;
    private long fencingNumber;
    private long revision;
    private final Map<ModelVersion, EvidenceCounters> evidence = new HashMap<>();
    private final Deque<ControllerEvent> events = new ArrayDeque<>();

    static Controller realController() {
        return new RolloutController(SETTINGS, EvaluationSettings.standard())::handle;
    }

    void addUpstream(String id, String model, int maxVersions, String... versions) {
        upstreams.put(id, new UpstreamVersions(id, model, Set.of(versions), maxVersions));
    }

    /** Replaces the controller with one that acquires the lease and has no state but the stored records. */
    void elect(Controller next) {
        controller = next;
        revision++;
        fencingNumber = revision;
        events.clear();
        upstreams.values().forEach(upstream -> events.add(new ControllerEvent.UpstreamReported(upstream)));
        events.add(new ControllerEvent.LeaseAcquired(fencingNumber, nowMillis + 10_000, List.copyOf(records.values())));
        events.add(new ControllerEvent.RulesChanged(rules));
        handleAll();
    }

    void changeRules(RolloutRule... changed) {
        rules = List.of(changed);
        send(new ControllerEvent.RulesChanged(rules));
    }

    void send(ControllerEvent event) {
        events.add(event);
        handleAll();
    }

    void run(int seconds) {
        for (int i = 0; i < seconds; i++) {
            nowMillis += 1_000;
            if (store != Store.DOWN) {
                events.add(new ControllerEvent.LeaseRenewed(nowMillis + 10_000));
            }
            published.stages().forEach(this::serve);
            events.add(new ControllerEvent.Tick());
            handleAll();
        }
    }

    RolloutRecord record(String model) {
        return records.get(model).record();
    }

    int publishedShare(String model) {
        return published.stages().stream()
                .filter(stage -> stage.model().equals(model))
                .mapToInt(Stage::shareBasisPoints)
                .findFirst()
                .orElse(0);
    }

    private void serve(Stage stage) {
        int newRequests = REQUESTS_PER_SECOND * stage.shareBasisPoints() / Stage.ALL_BASIS_POINTS;
        count(stage.model(), stage.newVersion(), newRequests);
        count(stage.model(), stage.oldVersion(), REQUESTS_PER_SECOND - newRequests);
    }

    private void count(String model, String version, int requests) {
        ModelVersion key = new ModelVersion(model, version);
        int failures = (int) Math.round(requests * failureShareByVersion.getOrDefault(version, 0.0));
        long[] times = new long[TimeHistogram.BUCKETS];
        for (int i = 0; i < requests - failures; i++) {
            times[10 + i % 10]++;
        }
        EvidenceCounters added = new EvidenceCounters(requests, failures, TimeHistogram.of(times));
        evidence.merge(key, added, EvidenceCounters::plus);
        events.add(new ControllerEvent.EvidenceReported(
                "agent", 1, key, new RouteLoadKey("chat", false), evidence.get(key)));
    }

    private void handleAll() {
        while (!events.isEmpty()) {
            controller.handle(events.remove(), nowMillis).forEach(this::perform);
        }
    }

    private void perform(ControllerEffect effect) {
        if (effect instanceof ControllerEffect.WriteRecord write) {
            write(write);
        } else if (effect instanceof ControllerEffect.ReadRecord read && store != Store.DOWN) {
            events.add(new ControllerEvent.RecordRead(read.model(), Optional.ofNullable(records.get(read.model()))));
        } else if (effect instanceof ControllerEffect.SendOrder send) {
            assertThat(recordedOrderIds).contains(send.order().orderId());
            sentOrders.add(send.order());
            OrderIntent intent = new OrderIntent(
                    send.order().orderId(),
                    send.upstreamId(),
                    send.order().kind(),
                    send.order().model(),
                    send.order().version());
            upstreams.computeIfPresent(send.upstreamId(), (id, upstream) -> upstream.afterOrder(intent));
            events.add(new ControllerEvent.OrderAnswered(intent.orderId(), new OrderResult.Done()));
        } else if (effect instanceof ControllerEffect.PublishStages publish) {
            published = publish.stages();
        } else if (effect instanceof ControllerEffect.PublishVerdict publish) {
            verdicts.add(publish.verdict());
        } else if (effect instanceof ControllerEffect.ReportStep step) {
            reports.add(step.report());
        }
    }

    private void write(ControllerEffect.WriteRecord write) {
        String model = write.record().model();
        WriteOutcome answer = WriteOutcome.UNAVAILABLE;
        long storedRevision = records.containsKey(model) ? records.get(model).revision() : 0;
        if (store != Store.DOWN && storedRevision != write.expectedRevision()) {
            answer = WriteOutcome.COMPARE_FAILED;
        } else if (store != Store.DOWN) {
            revision++;
            records.put(model, new StoredRecord(write.record(), revision));
            write.record().intents().forEach(intent -> recordedOrderIds.add(intent.orderId()));
            answer = store == Store.UP ? WriteOutcome.APPLIED : WriteOutcome.UNKNOWN;
        }
        events.add(new ControllerEvent.WriteAnswered(model, write.record().writeId(), answer, revision));
    }
}

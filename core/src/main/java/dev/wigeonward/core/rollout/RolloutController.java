package dev.wigeonward.core.rollout;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import dev.wigeonward.core.order.Order;
import dev.wigeonward.core.order.OrderResult;

/**
 * Controller of all version moves, active at the entry that holds the controller lease.
 *
 * <p>Each step is first written to the rollout record; its orders and stages are sent only after the store confirmed
 * the write. Bad verdicts are the exception: they are published at once, even without the lease, and written when the
 * store answers, because a verdict only ever takes requests away from a version. Not thread-safe.
 */
public final class RolloutController {
    private final RolloutSettings settings;
    private final VersionEvaluator judge;
    private final LoadPlanner planner;
    private final RolloutAdvancer advancer;
    private final FinishProjection projection;

    private final Map<String, RolloutProgress> moves = new TreeMap<>();
    private final Map<String, UpstreamVersions> upstreams = new TreeMap<>();
    private final Map<String, RolloutRule> rules = new TreeMap<>();
    private final Map<ModelVersion, BadVerdict> badVersions =
            new TreeMap<>(Comparator.comparing(ModelVersion::model).thenComparing(ModelVersion::version));
    private boolean rulesKnown;
    private boolean holdsLease;
    private long fencingNumber;
    private long leaseValidUntilMillis;
    private long writeCount;
    private long sequence;
    private long lastPublishMillis = Long.MIN_VALUE / 2;
    private long lastTickMillis = Long.MIN_VALUE / 2;
    private List<ControllerEffect> effects = new ArrayList<>();

    /** Creates a controller without the lease and without moves. */
    public RolloutController(RolloutSettings settings, EvaluationSettings judgeSettings) {
        this.settings = settings;
        this.judge = new VersionEvaluator(judgeSettings);
        this.planner = new LoadPlanner(settings);
        this.advancer = new RolloutAdvancer(settings, planner);
        this.projection = new FinishProjection(settings, planner, advancer);
    }

    /** Applies the event and returns the effects to carry out, in order. */
    public List<ControllerEffect> handle(ControllerEvent event, long nowMillis) {
        effects = new ArrayList<>();
        if (event instanceof ControllerEvent.LeaseAcquired acquired) {
            handleLeaseAcquired(acquired, nowMillis);
        } else if (event instanceof ControllerEvent.LeaseRenewed renewed) {
            leaseValidUntilMillis = Math.max(leaseValidUntilMillis, renewed.validUntilMillis());
        } else if (event instanceof ControllerEvent.LeaseLost) {
            holdsLease = false;
        } else if (event instanceof ControllerEvent.RulesChanged changed) {
            changeRules(changed.rules(), nowMillis);
        } else if (event instanceof ControllerEvent.UpstreamReported seen) {
            upstreams.put(seen.upstream().upstreamId(), seen.upstream());
        } else if (event instanceof ControllerEvent.UpstreamRemoved gone) {
            upstreams.remove(gone.upstreamId());
        } else if (event instanceof ControllerEvent.EvidenceReported reported) {
            RolloutProgress move = moves.get(reported.version().model());
            if (move != null && !move.record.phase().isOver()) {
                move.evidence.add(reported, nowMillis);
            }
        } else if (event instanceof ControllerEvent.VerdictReceived received) {
            addVerdict(received.verdict(), nowMillis);
        } else if (event instanceof ControllerEvent.WriteAnswered answered) {
            handleWriteAnswer(answered, nowMillis);
        } else if (event instanceof ControllerEvent.RecordRead read) {
            handleRecordRead(read, nowMillis);
        } else if (event instanceof ControllerEvent.OrderAnswered answered) {
            handleOrderAnswer(answered, nowMillis);
        } else if (event instanceof ControllerEvent.Tick) {
            tick(nowMillis);
        }
        return effects;
    }

    /** Returns a report of the current state of each move, for operators. */
    public List<RolloutReport> reports(long nowMillis) {
        return moves.values().stream()
                .map(move -> report(move, move.record.reason(), nowMillis))
                .toList();
    }

    private void handleLeaseAcquired(ControllerEvent.LeaseAcquired acquired, long nowMillis) {
        holdsLease = true;
        fencingNumber = acquired.fencingNumber();
        leaseValidUntilMillis = acquired.validUntilMillis();
        sequence = 0;
        Map<String, RolloutProgress> known = new TreeMap<>(moves);
        moves.clear();
        for (StoredRecord stored : acquired.records()) {
            RolloutProgress move =
                    adopt(stored, Optional.ofNullable(known.get(stored.record().model())));
            moves.put(stored.record().model(), move);
        }
        List.copyOf(badVersions.values()).forEach(verdict -> effects.add(new ControllerEffect.PublishVerdict(verdict)));
        publish(nowMillis);
        moves.values().forEach(move -> sendOrders(move, nowMillis));
        applyRules(nowMillis);
    }

    /** Returns a move for the stored record, with the evidence of the known move if it is between the same versions. */
    private RolloutProgress adopt(StoredRecord stored, Optional<RolloutProgress> known) {
        RolloutRecord record = stored.record();
        record.badReasons().forEach((version, reason) -> {
            ModelVersion modelVersion = new ModelVersion(record.model(), version);
            badVersions.putIfAbsent(modelVersion, new BadVerdict(modelVersion, reason));
        });
        RolloutProgress move = new RolloutProgress(record, stored.revision(), settings.confirmMillis());
        known.filter(before -> before.record.newVersion().equals(record.newVersion())
                        && before.record.oldVersion().equals(record.oldVersion()))
                .ifPresent(before -> move.evidence = before.evidence);
        return move;
    }

    private void changeRules(List<RolloutRule> changed, long nowMillis) {
        rules.clear();
        changed.forEach(rule -> rules.put(rule.model(), rule));
        rulesKnown = true;
        applyRules(nowMillis);
    }

    private void applyRules(long nowMillis) {
        if (!rulesKnown || !leaseValid(nowMillis)) {
            return;
        }
        for (RolloutProgress move : moves.values()) {
            RolloutRule rule = rules.get(move.record.model());
            boolean withdrawn = rule == null || !rule.toVersion().equals(move.record.newVersion());
            if (withdrawn && !move.withdrawn && move.record.phase().isAdvancing()) {
                move.withdrawn = true;
                publish(nowMillis);
            }
            move.withdrawn = withdrawn;
        }
        rules.values().forEach(rule -> startMove(rule, nowMillis));
    }

    private void startMove(RolloutRule rule, long nowMillis) {
        RolloutProgress before = moves.get(rule.model());
        if (badVersions.containsKey(new ModelVersion(rule.model(), rule.toVersion()))) {
            return;
        }
        if (before == null) {
            startMove(rule, rule.fromVersion(), 0, nowMillis);
            return;
        }
        boolean sameVersion = before.record.newVersion().equals(rule.toVersion());
        if (before.pending != null || before.inDoubt || !before.record.phase().isOver()) {
            return;
        }
        // After a rollback a new move starts only when a rule names another version.
        if (!sameVersion && !before.record.currentVersion().equals(rule.toVersion())) {
            startMove(rule, before.record.currentVersion(), before.revision, nowMillis);
        }
    }

    private void startMove(RolloutRule rule, String oldVersion, long revision, long nowMillis) {
        RolloutRecord planned = RolloutRecord.planned(rule, oldVersion, badReasons(rule.model()), nowMillis);
        RolloutProgress move = new RolloutProgress(planned, revision, settings.confirmMillis());
        moves.put(rule.model(), move);
        write(move, planned, nowMillis);
    }

    private void addVerdict(BadVerdict verdict, long nowMillis) {
        if (badVersions.putIfAbsent(verdict.version(), verdict) != null) {
            return;
        }
        effects.add(new ControllerEffect.PublishVerdict(verdict));
        publish(nowMillis);
        RolloutProgress move = moves.get(verdict.version().model());
        if (move != null) {
            effects.add(new ControllerEffect.ReportStep(report(move, "bad version: " + verdict.reason(), nowMillis)));
            advance(move, nowMillis);
        }
    }

    private void tick(long nowMillis) {
        // Capped so that a pause of this process is not counted as time in which its stages were in effect.
        long elapsedMillis = Math.max(0, Math.min(nowMillis - lastTickMillis, settings.renewMillis()));
        lastTickMillis = nowMillis;
        for (RolloutProgress move : List.copyOf(moves.values())) {
            if (leaseValid(nowMillis)) {
                move.activeMillis += elapsedMillis;
            }
            judge(move, nowMillis);
        }
        if (!leaseValid(nowMillis)) {
            return;
        }
        applyRules(nowMillis);
        planner.plan(List.copyOf(moves.values()), upstreams.values(), nowMillis)
                .forEach((model, orders) -> recordOrders(moves.get(model), orders, nowMillis));
        for (RolloutProgress move : byDeadline()) {
            retryWrite(move, nowMillis);
            advance(move, nowMillis);
            sendOrders(move, nowMillis);
            reportIfLate(move, nowMillis);
        }
        if (nowMillis - lastPublishMillis >= settings.renewMillis()) {
            publish(nowMillis);
        }
    }

    private void judge(RolloutProgress move, long nowMillis) {
        RolloutPhase phase = move.record.phase();
        boolean judged =
                phase == RolloutPhase.CANARY || phase == RolloutPhase.GROWING || phase == RolloutPhase.WATCHING;
        ModelVersion version = new ModelVersion(move.record.model(), move.record.newVersion());
        if (!judged || badVersions.containsKey(version)) {
            return;
        }
        boolean truncated = leaseValid(nowMillis) && advancer.mustTruncateTest(move, nowMillis);
        move.evidence.judge(judge, truncated, nowMillis).ifPresent(judgement -> {
            String load = judgement.cell().underLoad() ? " under load: " : ": ";
            addVerdict(
                    new BadVerdict(version, "route " + judgement.cell().route() + load + judgement.reason()),
                    nowMillis);
        });
    }

    /** Numbers the orders and writes them to the rollout record, before they are sent. */
    private void recordOrders(RolloutProgress move, List<OrderIntent> orders, long nowMillis) {
        List<OrderIntent> intents = move.unansweredIntents();
        int count = move.record.orderCount();
        for (OrderIntent order : orders) {
            count++;
            String orderId = order.model() + "/" + move.record.newVersion() + "/" + count;
            intents.add(new OrderIntent(orderId, order.upstreamId(), order.kind(), order.model(), order.version()));
        }
        write(move, move.record.withIntents(intents, count), nowMillis);
    }

    private void advance(RolloutProgress move, long nowMillis) {
        if (!leaseValid(nowMillis) || move.pending != null) {
            return;
        }
        RolloutRecord record = move.record;
        ModelVersion version = new ModelVersion(record.model(), record.newVersion());
        Optional<String> badReason =
                Optional.ofNullable(badVersions.get(version)).map(BadVerdict::reason);
        Optional<RolloutRecord> next = advancer.next(move, badReason, upstreams.values(), nowMillis);
        RolloutRule rule = rules.get(record.model());
        boolean deadlineMoved = rule != null
                && !move.withdrawn
                && record.phase().isAdvancing()
                && rule.deadlineMillis() != record.deadlineMillis();
        if (next.isPresent()) {
            write(move, next.get(), nowMillis);
        } else if (deadlineMoved) {
            write(move, record.withDeadlineMillis(rule.deadlineMillis()), nowMillis);
        } else if (!record.badReasons()
                .keySet()
                .containsAll(badReasons(record.model()).keySet())) {
            write(move, record, nowMillis);
        }
    }

    private void write(RolloutProgress move, RolloutRecord next, long nowMillis) {
        writeCount++;
        String writeId = fencingNumber + "-" + writeCount;
        move.pending = next.withIntents(unansweredOf(move, next), next.orderCount())
                .withWrite(fencingNumber, writeId, badReasons(next.model()));
        move.lastAttemptMillis = nowMillis;
        effects.add(new ControllerEffect.WriteRecord(move.pending, move.revision));
    }

    private static List<OrderIntent> unansweredOf(RolloutProgress move, RolloutRecord next) {
        return next.intents().stream()
                .filter(intent -> !move.answeredOrderIds.contains(intent.orderId()))
                .toList();
    }

    private void retryWrite(RolloutProgress move, long nowMillis) {
        if (move.pending == null || nowMillis - move.lastAttemptMillis < settings.retryMillis()) {
            return;
        }
        move.lastAttemptMillis = nowMillis;
        // The unanswered write may have been applied, so the record is read before the write is repeated.
        move.inDoubt = true;
        effects.add(new ControllerEffect.ReadRecord(move.record.model()));
    }

    private void handleWriteAnswer(ControllerEvent.WriteAnswered answered, long nowMillis) {
        RolloutProgress move = moves.get(answered.model());
        if (move == null || move.pending == null || !move.pending.writeId().equals(answered.writeId())) {
            return;
        }
        switch (answered.answer()) {
            case APPLIED -> confirm(move, answered.revision(), nowMillis);
            case COMPARE_FAILED, UNKNOWN -> {
                move.inDoubt = true;
                move.lastAttemptMillis = nowMillis;
                effects.add(new ControllerEffect.ReadRecord(answered.model()));
            }
            default -> move.lastAttemptMillis = nowMillis;
        }
    }

    private void handleRecordRead(ControllerEvent.RecordRead read, long nowMillis) {
        RolloutProgress move = moves.get(read.model());
        if (move == null || move.pending == null || !move.inDoubt) {
            return;
        }
        long storedRevision = read.stored().map(StoredRecord::revision).orElse(0L);
        if (read.stored().isPresent()) {
            RolloutRecord stored = read.stored().get().record();
            if (stored.writeId().equals(move.pending.writeId())) {
                confirm(move, storedRevision, nowMillis);
                return;
            }
            if (stored.fencingNumber() > fencingNumber) {
                holdsLease = false;
                return;
            }
            if (storedRevision != move.revision) {
                // A late write of an earlier controller was applied first, so adopt the stored record.
                moves.put(read.model(), adopt(read.stored().get(), Optional.of(move)));
                return;
            }
        }
        move.inDoubt = false;
        if (leaseValid(nowMillis)) {
            effects.add(new ControllerEffect.WriteRecord(move.pending, move.revision));
        }
    }

    private void confirm(RolloutProgress move, long revision, long nowMillis) {
        boolean step = move.record.phase() != move.pending.phase()
                || move.record.shareBasisPoints() != move.pending.shareBasisPoints()
                || move.revision == 0;
        move.record = move.pending;
        move.pending = null;
        move.inDoubt = false;
        move.revision = revision;
        if (step) {
            effects.add(new ControllerEffect.ReportStep(report(move, move.record.reason(), nowMillis)));
            move.activeMillis = 0;
            move.evidence.startStage(nowMillis);
            publish(nowMillis);
        }
        sendOrders(move, nowMillis);
        advance(move, nowMillis);
    }

    private void sendOrders(RolloutProgress move, long nowMillis) {
        if (!leaseValid(nowMillis)) {
            return;
        }
        for (OrderIntent intent : move.record.intents()) {
            long sentMillis = move.sentMillisByOrder.getOrDefault(intent.orderId(), Long.MIN_VALUE / 2);
            boolean due = nowMillis - sentMillis >= settings.orderRetryMillis();
            if (!due || move.answeredOrderIds.contains(intent.orderId())) {
                continue;
            }
            if (isObsolete(move, intent, nowMillis)) {
                move.answeredOrderIds.add(intent.orderId());
                continue;
            }
            if (!upstreams.containsKey(intent.upstreamId())) {
                continue;
            }
            move.sentMillisByOrder.put(intent.orderId(), nowMillis);
            effects.add(new ControllerEffect.SendOrder(intent.upstreamId(), intent.toOrder(fencingNumber)));
        }
    }

    private boolean isObsolete(RolloutProgress move, OrderIntent intent, long nowMillis) {
        if (intent.kind() == Order.Kind.LOAD
                && badVersions.containsKey(new ModelVersion(intent.model(), intent.version()))) {
            return true;
        }
        if (upstreams.containsKey(intent.upstreamId())) {
            move.missingSinceMillisByOrder.remove(intent.orderId());
            return false;
        }
        // A new lease holder needs some time to establish links to all agents, so a missing upstream may appear.
        long sinceMillis = move.missingSinceMillisByOrder.computeIfAbsent(intent.orderId(), id -> nowMillis);
        return nowMillis - sinceMillis >= settings.orderRetryMillis();
    }

    private void handleOrderAnswer(ControllerEvent.OrderAnswered answered, long nowMillis) {
        for (RolloutProgress move : moves.values()) {
            for (OrderIntent intent : move.unansweredIntents()) {
                if (intent.orderId().equals(answered.orderId())) {
                    handleOrderAnswer(move, intent, answered.result(), nowMillis);
                }
            }
        }
    }

    private void handleOrderAnswer(RolloutProgress move, OrderIntent intent, OrderResult result, long nowMillis) {
        if (result instanceof OrderResult.Done) {
            move.answeredOrderIds.add(intent.orderId());
            upstreams.computeIfPresent(intent.upstreamId(), (id, upstream) -> upstream.afterOrder(intent));
            Long sentMillis = move.sentMillisByOrder.get(intent.orderId());
            if (sentMillis != null && intent.kind() == Order.Kind.LOAD) {
                projection.recordLoadDuration(nowMillis - sentMillis);
            }
        } else if (result instanceof OrderResult.Failed failed) {
            move.answeredOrderIds.add(intent.orderId());
            move.retryOrdersMillis = nowMillis + settings.orderRetryMillis();
            String reason = intent.kind() + " at " + intent.upstreamId() + " failed: " + failed.reason();
            effects.add(new ControllerEffect.ReportStep(report(move, reason, nowMillis)));
        } else if (result instanceof OrderResult.Refused refused && refused.highestFencingNumber() > fencingNumber) {
            holdsLease = false;
        }
    }

    private void reportIfLate(RolloutProgress move, long nowMillis) {
        if (!move.record.phase().isAdvancing() || move.record.phase() == RolloutPhase.WATCHING) {
            return;
        }
        long finishMillis = projection.finishMillis(move, moves.values(), upstreams.values(), nowMillis);
        boolean late = finishMillis > move.record.deadlineMillis();
        if (late && !move.lateReported) {
            effects.add(new ControllerEffect.ReportStep(report(move, "the deadline will not be met", nowMillis)));
        }
        move.lateReported = late;
    }

    private void publish(long nowMillis) {
        if (!leaseValid(nowMillis)) {
            return;
        }
        lastPublishMillis = nowMillis;
        sequence++;
        List<Stage> stages = moves.values().stream().map(this::stage).toList();
        effects.add(new ControllerEffect.PublishStages(new ControllerStages(fencingNumber, sequence, stages)));
    }

    private Stage stage(RolloutProgress move) {
        RolloutRecord record = move.record;
        boolean isBad = badVersions.containsKey(new ModelVersion(record.model(), record.newVersion()));
        boolean stopped = isBad || move.withdrawn && record.phase().isAdvancing();
        return new Stage(
                record.model(),
                record.oldVersion(),
                record.newVersion(),
                stopped ? 0 : record.shareBasisPoints(),
                StageView.MAX_LEASE_MILLIS,
                record.phase() == RolloutPhase.DONE && !isBad);
    }

    private RolloutReport report(RolloutProgress move, String reason, long nowMillis) {
        RolloutRecord record = move.record;
        long finishMillis = projection.finishMillis(move, moves.values(), upstreams.values(), nowMillis);
        return new RolloutReport(
                nowMillis,
                record.model(),
                record.oldVersion(),
                record.newVersion(),
                record.phase().name().toLowerCase(Locale.ROOT),
                record.shareBasisPoints(),
                record.deadlineMillis(),
                finishMillis,
                finishMillis <= record.deadlineMillis(),
                reason,
                move.evidence.judgements());
    }

    private Map<String, String> badReasons(String model) {
        Map<String, String> reasons = new TreeMap<>();
        badVersions.values().stream()
                .filter(verdict -> verdict.version().model().equals(model))
                .forEach(verdict -> reasons.put(verdict.version().version(), verdict.reason()));
        return reasons;
    }

    private Collection<RolloutProgress> byDeadline() {
        List<RolloutProgress> sorted = new ArrayList<>(moves.values());
        sorted.sort(Comparator.comparingLong((RolloutProgress move) -> move.record.deadlineMillis())
                .thenComparing(move -> move.record.model()));
        return sorted;
    }

    private boolean leaseValid(long nowMillis) {
        return holdsLease && nowMillis < leaseValidUntilMillis;
    }
}

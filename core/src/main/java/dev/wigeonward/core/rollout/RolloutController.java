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
 * Controller of all rollouts, active at the entry that holds the controller lease.
 *
 * <p>Each step is first written to the rollout record; its orders and stages are sent only after the store confirmed
 * the write. Bad verdicts are the exception: they are published at once, even without the lease, and written when the
 * store answers, because a verdict only ever takes requests away from a version. Not thread-safe.
 */
public final class RolloutController {
    private final RolloutSettings settings;
    private final VersionEvaluator evaluateEvidence;
    private final LoadPlanner planner;
    private final RolloutAdvancer advancer;
    private final FinishProjection projection;

    private final Map<String, RolloutProgress> rollouts = new TreeMap<>();
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

    /** Creates a controller without the lease and without rollouts. */
    public RolloutController(RolloutSettings settings, EvaluationSettings evaluationSettings) {
        this.settings = settings;
        this.evaluateEvidence = new VersionEvaluator(evaluationSettings);
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
        } else if (event instanceof ControllerEvent.UpstreamReported reported) {
            upstreams.put(reported.upstream().upstreamId(), reported.upstream());
        } else if (event instanceof ControllerEvent.UpstreamRemoved removed) {
            upstreams.remove(removed.upstreamId());
        } else if (event instanceof ControllerEvent.EvidenceReported reported) {
            RolloutProgress rollout = rollouts.get(reported.version().model());
            if (rollout != null && !rollout.record.phase().isOver()) {
                rollout.evidence.add(reported, nowMillis);
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

    /** Returns a report of the current state of each rollout, for operators. */
    public List<RolloutReport> reports(long nowMillis) {
        return rollouts.values().stream()
                .map(rollout -> report(rollout, rollout.record.reason(), nowMillis))
                .toList();
    }

    private void handleLeaseAcquired(ControllerEvent.LeaseAcquired acquired, long nowMillis) {
        holdsLease = true;
        fencingNumber = acquired.fencingNumber();
        leaseValidUntilMillis = acquired.validUntilMillis();
        sequence = 0;
        Map<String, RolloutProgress> known = new TreeMap<>(rollouts);
        rollouts.clear();
        for (StoredRecord stored : acquired.records()) {
            RolloutProgress rollout =
                    adopt(stored, Optional.ofNullable(known.get(stored.record().model())));
            rollouts.put(stored.record().model(), rollout);
        }
        List.copyOf(badVersions.values()).forEach(verdict -> effects.add(new ControllerEffect.PublishVerdict(verdict)));
        publish(nowMillis);
        rollouts.values().forEach(rollout -> sendOrders(rollout, nowMillis));
        applyRules(nowMillis);
    }

    /**
     * Returns a rollout for the stored record. It keeps the evidence of the known rollout if that is between the same
     * versions.
     */
    private RolloutProgress adopt(StoredRecord stored, Optional<RolloutProgress> known) {
        RolloutRecord record = stored.record();
        record.badReasons().forEach((version, reason) -> {
            ModelVersion modelVersion = new ModelVersion(record.model(), version);
            badVersions.putIfAbsent(modelVersion, new BadVerdict(modelVersion, reason));
        });
        RolloutProgress rollout = new RolloutProgress(record, stored.revision(), settings.confirmMillis());
        known.filter(before -> before.record.newVersion().equals(record.newVersion())
                        && before.record.oldVersion().equals(record.oldVersion()))
                .ifPresent(before -> rollout.evidence = before.evidence);
        return rollout;
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
        for (RolloutProgress rollout : rollouts.values()) {
            RolloutRule rule = rules.get(rollout.record.model());
            boolean withdrawn = rule == null || !rule.toVersion().equals(rollout.record.newVersion());
            if (withdrawn && !rollout.withdrawn && rollout.record.phase().isAdvancing()) {
                rollout.withdrawn = true;
                publish(nowMillis);
            }
            rollout.withdrawn = withdrawn;
        }
        rules.values().forEach(rule -> startRolloutIfNeeded(rule, nowMillis));
    }

    /**
     * Starts a rollout of the rule's version unless that version is bad, in use, or the one of the model's last
     * rollout, or the last rollout is not over.
     */
    private void startRolloutIfNeeded(RolloutRule rule, long nowMillis) {
        RolloutProgress before = rollouts.get(rule.model());
        if (badVersions.containsKey(new ModelVersion(rule.model(), rule.toVersion()))) {
            return;
        }
        if (before == null) {
            startRollout(rule, rule.fromVersion(), 0, 0, nowMillis);
            return;
        }
        boolean sameVersion = before.record.newVersion().equals(rule.toVersion());
        if (before.pending != null || before.inDoubt || !before.record.phase().isOver()) {
            return;
        }
        // After a rollback a new rollout starts only when a rule names another version.
        if (!sameVersion && !before.record.currentVersion().equals(rule.toVersion())) {
            int orders = before.record.orderCount();
            startRollout(rule, before.record.currentVersion(), before.revision, orders, nowMillis);
        }
    }

    private void startRollout(RolloutRule rule, String oldVersion, long revision, int orderCount, long nowMillis) {
        RolloutRecord planned =
                RolloutRecord.planned(rule, oldVersion, orderCount, badReasons(rule.model()), nowMillis);
        RolloutProgress rollout = new RolloutProgress(planned, revision, settings.confirmMillis());
        rollouts.put(rule.model(), rollout);
        write(rollout, planned, nowMillis);
    }

    private void addVerdict(BadVerdict verdict, long nowMillis) {
        if (badVersions.putIfAbsent(verdict.version(), verdict) != null) {
            return;
        }
        effects.add(new ControllerEffect.PublishVerdict(verdict));
        publish(nowMillis);
        RolloutProgress rollout = rollouts.get(verdict.version().model());
        if (rollout != null) {
            effects.add(
                    new ControllerEffect.ReportStep(report(rollout, "bad version: " + verdict.reason(), nowMillis)));
            advance(rollout, nowMillis);
        }
    }

    private void tick(long nowMillis) {
        // Capped so that a pause of this process is not counted as time in which its stages were in effect.
        long elapsedMillis = Math.max(0, Math.min(nowMillis - lastTickMillis, settings.renewMillis()));
        lastTickMillis = nowMillis;
        for (RolloutProgress rollout : List.copyOf(rollouts.values())) {
            if (leaseValid(nowMillis)) {
                rollout.activeMillis += elapsedMillis;
            }
            evaluateEvidence(rollout, nowMillis);
        }
        if (!leaseValid(nowMillis)) {
            return;
        }
        applyRules(nowMillis);
        planner.plan(List.copyOf(rollouts.values()), upstreams.values(), nowMillis)
                .forEach((model, orders) -> recordOrders(rollouts.get(model), orders, nowMillis));
        for (RolloutProgress rollout : byDeadline()) {
            retryWrite(rollout, nowMillis);
            advance(rollout, nowMillis);
            sendOrders(rollout, nowMillis);
            reportIfLate(rollout, nowMillis);
        }
        if (nowMillis - lastPublishMillis >= settings.renewMillis()) {
            publish(nowMillis);
        }
    }

    private void evaluateEvidence(RolloutProgress rollout, long nowMillis) {
        RolloutPhase phase = rollout.record.phase();
        boolean isTested =
                phase == RolloutPhase.CANARY || phase == RolloutPhase.GROWING || phase == RolloutPhase.WATCHING;
        ModelVersion version = new ModelVersion(rollout.record.model(), rollout.record.newVersion());
        if (!isTested || badVersions.containsKey(version)) {
            return;
        }
        boolean truncated = leaseValid(nowMillis) && advancer.mustTruncateTest(rollout, nowMillis);
        rollout.evidence
                .evaluate(evaluateEvidence, truncated, nowMillis)
                .ifPresent(reason -> addVerdict(new BadVerdict(version, reason), nowMillis));
    }

    /** Numbers the orders and writes them to the rollout record, before they are sent. */
    private void recordOrders(RolloutProgress rollout, List<OrderIntent> orders, long nowMillis) {
        List<OrderIntent> intents = rollout.unansweredIntents();
        int count = rollout.record.orderCount();
        for (OrderIntent order : orders) {
            count++;
            String orderId = order.model() + "/" + rollout.record.newVersion() + "/" + count;
            intents.add(new OrderIntent(orderId, order.upstreamId(), order.kind(), order.model(), order.version()));
        }
        write(rollout, rollout.record.withIntents(intents, count), nowMillis);
    }

    private void advance(RolloutProgress rollout, long nowMillis) {
        if (!leaseValid(nowMillis) || rollout.pending != null) {
            return;
        }
        RolloutRecord record = rollout.record;
        ModelVersion version = new ModelVersion(record.model(), record.newVersion());
        Optional<String> badReason =
                Optional.ofNullable(badVersions.get(version)).map(BadVerdict::reason);
        Optional<RolloutRecord> next = advancer.next(rollout, badReason, upstreams.values(), nowMillis);
        RolloutRule rule = rules.get(record.model());
        boolean deadlineChanged = rule != null
                && !rollout.withdrawn
                && record.phase().isAdvancing()
                && rule.deadlineMillis() != record.deadlineMillis();
        if (next.isPresent()) {
            write(rollout, next.get(), nowMillis);
        } else if (deadlineChanged) {
            write(rollout, record.withDeadlineMillis(rule.deadlineMillis()), nowMillis);
        } else if (!record.badReasons()
                .keySet()
                .containsAll(badReasons(record.model()).keySet())) {
            write(rollout, record, nowMillis);
        }
    }

    private void write(RolloutProgress rollout, RolloutRecord next, long nowMillis) {
        writeCount++;
        String writeId = fencingNumber + "-" + writeCount;
        rollout.pending = next.withIntents(unansweredOf(rollout, next), next.orderCount())
                .withWrite(fencingNumber, writeId, badReasons(next.model()));
        rollout.lastAttemptMillis = nowMillis;
        effects.add(new ControllerEffect.WriteRecord(rollout.pending, rollout.revision));
    }

    private static List<OrderIntent> unansweredOf(RolloutProgress rollout, RolloutRecord next) {
        return next.intents().stream()
                .filter(intent -> !rollout.answeredOrderIds.contains(intent.orderId()))
                .toList();
    }

    private void retryWrite(RolloutProgress rollout, long nowMillis) {
        if (rollout.pending == null || nowMillis - rollout.lastAttemptMillis < settings.retryMillis()) {
            return;
        }
        rollout.lastAttemptMillis = nowMillis;
        // The unanswered write may have been applied, so the record is read before the write is repeated.
        rollout.inDoubt = true;
        effects.add(new ControllerEffect.ReadRecord(rollout.record.model()));
    }

    private void handleWriteAnswer(ControllerEvent.WriteAnswered answered, long nowMillis) {
        RolloutProgress rollout = rollouts.get(answered.model());
        if (rollout == null
                || rollout.pending == null
                || !rollout.pending.writeId().equals(answered.writeId())) {
            return;
        }
        switch (answered.answer()) {
            case APPLIED -> confirm(rollout, answered.revision(), nowMillis);
            case COMPARE_FAILED, UNKNOWN -> {
                rollout.inDoubt = true;
                rollout.lastAttemptMillis = nowMillis;
                effects.add(new ControllerEffect.ReadRecord(answered.model()));
            }
            default -> rollout.lastAttemptMillis = nowMillis;
        }
    }

    private void handleRecordRead(ControllerEvent.RecordRead read, long nowMillis) {
        RolloutProgress rollout = rollouts.get(read.model());
        if (rollout == null || rollout.pending == null || !rollout.inDoubt) {
            return;
        }
        long storedRevision = read.stored().map(StoredRecord::revision).orElse(0L);
        if (read.stored().isPresent()) {
            RolloutRecord stored = read.stored().get().record();
            if (stored.writeId().equals(rollout.pending.writeId())) {
                confirm(rollout, storedRevision, nowMillis);
                return;
            }
            if (stored.fencingNumber() > fencingNumber) {
                holdsLease = false;
                return;
            }
            if (storedRevision != rollout.revision) {
                // A late write of an earlier controller was applied first, so adopt the stored record.
                rollouts.put(read.model(), adopt(read.stored().get(), Optional.of(rollout)));
                return;
            }
        }
        rollout.inDoubt = false;
        if (leaseValid(nowMillis)) {
            effects.add(new ControllerEffect.WriteRecord(rollout.pending, rollout.revision));
        }
    }

    private void confirm(RolloutProgress rollout, long revision, long nowMillis) {
        boolean step = rollout.record.phase() != rollout.pending.phase()
                || rollout.record.shareBasisPoints() != rollout.pending.shareBasisPoints()
                || rollout.revision == 0;
        rollout.record = rollout.pending;
        rollout.pending = null;
        rollout.inDoubt = false;
        rollout.revision = revision;
        if (step) {
            effects.add(new ControllerEffect.ReportStep(report(rollout, rollout.record.reason(), nowMillis)));
            rollout.activeMillis = 0;
            rollout.evidence.startStage(nowMillis);
            publish(nowMillis);
        }
        sendOrders(rollout, nowMillis);
        advance(rollout, nowMillis);
    }

    private void sendOrders(RolloutProgress rollout, long nowMillis) {
        if (!leaseValid(nowMillis)) {
            return;
        }
        for (OrderIntent intent : rollout.record.intents()) {
            long sentMillis = rollout.sentMillisByOrder.getOrDefault(intent.orderId(), Long.MIN_VALUE / 2);
            boolean due = nowMillis - sentMillis >= settings.orderRetryMillis();
            if (!due || rollout.answeredOrderIds.contains(intent.orderId())) {
                continue;
            }
            if (isObsolete(rollout, intent, nowMillis)) {
                rollout.answeredOrderIds.add(intent.orderId());
                continue;
            }
            if (!upstreams.containsKey(intent.upstreamId())) {
                continue;
            }
            rollout.sentMillisByOrder.put(intent.orderId(), nowMillis);
            effects.add(new ControllerEffect.SendOrder(intent.upstreamId(), intent.toOrder(fencingNumber)));
        }
    }

    private boolean isObsolete(RolloutProgress rollout, OrderIntent intent, long nowMillis) {
        if (intent.kind() == Order.Kind.LOAD
                && badVersions.containsKey(new ModelVersion(intent.model(), intent.version()))) {
            return true;
        }
        if (upstreams.containsKey(intent.upstreamId())) {
            rollout.missingSinceMillisByOrder.remove(intent.orderId());
            return false;
        }
        // A new lease holder needs some time to establish links to all agents, so a missing upstream may appear.
        long sinceMillis = rollout.missingSinceMillisByOrder.computeIfAbsent(intent.orderId(), id -> nowMillis);
        return nowMillis - sinceMillis >= settings.orderRetryMillis();
    }

    private void handleOrderAnswer(ControllerEvent.OrderAnswered answered, long nowMillis) {
        for (RolloutProgress rollout : rollouts.values()) {
            for (OrderIntent intent : rollout.unansweredIntents()) {
                if (intent.orderId().equals(answered.orderId())) {
                    handleOrderAnswer(rollout, intent, answered.result(), nowMillis);
                }
            }
        }
    }

    private void handleOrderAnswer(RolloutProgress rollout, OrderIntent intent, OrderResult result, long nowMillis) {
        if (result instanceof OrderResult.Done) {
            rollout.answeredOrderIds.add(intent.orderId());
            upstreams.computeIfPresent(intent.upstreamId(), (id, upstream) -> upstream.afterOrder(intent));
            Long sentMillis = rollout.sentMillisByOrder.get(intent.orderId());
            if (sentMillis != null && intent.kind() == Order.Kind.LOAD) {
                projection.recordLoadDuration(nowMillis - sentMillis);
            }
        } else if (result instanceof OrderResult.Failed failed) {
            rollout.answeredOrderIds.add(intent.orderId());
            rollout.retryOrdersMillis = nowMillis + settings.orderRetryMillis();
            String reason = intent.kind() + " at " + intent.upstreamId() + " failed: " + failed.reason();
            effects.add(new ControllerEffect.ReportStep(report(rollout, reason, nowMillis)));
        } else if (result instanceof OrderResult.Refused refused && refused.highestFencingNumber() > fencingNumber) {
            holdsLease = false;
        }
    }

    private void reportIfLate(RolloutProgress rollout, long nowMillis) {
        if (!rollout.record.phase().isAdvancing() || rollout.record.phase() == RolloutPhase.WATCHING) {
            return;
        }
        long finishMillis = projection.finishMillis(rollout, rollouts.values(), upstreams.values(), nowMillis);
        boolean late = finishMillis > rollout.record.deadlineMillis();
        if (late && !rollout.lateReported) {
            effects.add(new ControllerEffect.ReportStep(report(rollout, "the deadline will not be met", nowMillis)));
        }
        rollout.lateReported = late;
    }

    private void publish(long nowMillis) {
        if (!leaseValid(nowMillis)) {
            return;
        }
        lastPublishMillis = nowMillis;
        sequence++;
        List<Stage> stages = rollouts.values().stream().map(this::stage).toList();
        effects.add(new ControllerEffect.PublishStages(new ControllerStages(fencingNumber, sequence, stages)));
    }

    private Stage stage(RolloutProgress rollout) {
        RolloutRecord record = rollout.record;
        boolean isBad = badVersions.containsKey(new ModelVersion(record.model(), record.newVersion()));
        boolean stopped = isBad || rollout.withdrawn && record.phase().isAdvancing();
        return new Stage(
                record.model(),
                record.oldVersion(),
                record.newVersion(),
                stopped ? 0 : record.shareBasisPoints(),
                StageView.MAX_LEASE_MILLIS,
                record.phase() == RolloutPhase.DONE && !isBad);
    }

    private RolloutReport report(RolloutProgress rollout, String reason, long nowMillis) {
        RolloutRecord record = rollout.record;
        long finishMillis = projection.finishMillis(rollout, rollouts.values(), upstreams.values(), nowMillis);
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
                rollout.evidence.evaluations());
    }

    private Map<String, String> badReasons(String model) {
        Map<String, String> reasons = new TreeMap<>();
        badVersions.values().stream()
                .filter(verdict -> verdict.version().model().equals(model))
                .forEach(verdict -> reasons.put(verdict.version().version(), verdict.reason()));
        return reasons;
    }

    private Collection<RolloutProgress> byDeadline() {
        List<RolloutProgress> sorted = new ArrayList<>(rollouts.values());
        sorted.sort(Comparator.comparingLong((RolloutProgress rollout) -> rollout.record.deadlineMillis())
                .thenComparing(rollout -> rollout.record.model()));
        return sorted;
    }

    private boolean leaseValid(long nowMillis) {
        return holdsLease && nowMillis < leaseValidUntilMillis;
    }
}

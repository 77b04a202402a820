package dev.wigeonward.entry.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerEffect;
import dev.wigeonward.core.rollout.ControllerEvent;
import dev.wigeonward.core.rollout.RolloutController;
import dev.wigeonward.core.rollout.RolloutReport;
import dev.wigeonward.core.rollout.RolloutRule;
import dev.wigeonward.core.rollout.UpstreamVersions;
import dev.wigeonward.core.rules.Rule;
import dev.wigeonward.core.rules.RuleSet;
import dev.wigeonward.exchange.EvidenceCodec;
import dev.wigeonward.exchange.FactSync;
import dev.wigeonward.exchange.OrderCodec;
import dev.wigeonward.wire.generated.Evidence;
import dev.wigeonward.wire.generated.Load;

/** Runs the rollout controller of an entry, which acts only while the entry holds the controller lease. */
final class RolloutControllerRunner {
    private static final Logger LOG = System.getLogger(RolloutControllerRunner.class.getName());
    private static final int MAX_STEP_REPORTS = 200;
    private static final long LEASE_CHECK_MILLIS = 200;
    /**
     * Time for which one check proves that the lease is held. Must stay shorter than the margin by which the lease
     * adapter gives the lease up before it expires in the store.
     */
    private static final long LEASE_VALIDITY_MILLIS = 1_000;

    private final RolloutController controller;
    private final RolloutRecordStore store;
    private final Supplier<OptionalLong> leaseFencingNumber;
    private final FactSync facts;
    private final ControlPlaneLinks links;
    private final Consumer<Runnable> decisionThread;
    private final Clock clock;
    private final Deque<RolloutReport> steps = new ArrayDeque<>();
    private long fencingNumber;
    private boolean readingRecords;
    private long nextCheckMillis;

    /**
     * Creates a runner that does not hold the lease.
     *
     * @param leaseFencingNumber returns the fencing number of the lease, or empty unless the lease is certainly held
     * @param decisionThread executes tasks on the decision thread; the store answers on other threads
     */
    RolloutControllerRunner(
            RolloutController controller,
            RolloutRecordStore store,
            Supplier<OptionalLong> leaseFencingNumber,
            FactSync facts,
            ControlPlaneLinks links,
            Consumer<Runnable> decisionThread,
            Clock clock) {
        this.controller = controller;
        this.store = store;
        this.leaseFencingNumber = leaseFencingNumber;
        this.facts = facts;
        this.links = links;
        this.decisionThread = decisionThread;
        this.clock = clock;
    }

    /** Returns whether this entry is the controller; agents send evidence to the controller only. */
    boolean holdsLease() {
        return fencingNumber > 0;
    }

    long fencingNumber() {
        return fencingNumber;
    }

    void onRules(RuleSet rules) {
        List<RolloutRule> rollouts = new ArrayList<>();
        for (Rule.Move rule : rules.moves()) {
            rollouts.add(new RolloutRule(
                    rule.model(),
                    rule.from(),
                    rule.to(),
                    rule.by().toEpochMilli(),
                    Math.min(rule.canaryBasisPoints(), RolloutRule.MAX_CANARY_BASIS_POINTS),
                    rule.source().askedBy()));
        }
        handle(new ControllerEvent.RulesChanged(rollouts));
    }

    void onLoad(UpstreamDescription upstream, Load load) {
        Set<String> versions = load.getLoadedVersionsCount() == 0
                ? Set.of(upstream.version())
                : Set.copyOf(load.getLoadedVersionsList());
        handle(new ControllerEvent.UpstreamReported(new UpstreamVersions(
                upstream.upstreamId(), upstream.target(), versions, Math.max(1, load.getVersionPlaces()))));
    }

    void onLinkDown(String upstreamId) {
        handle(new ControllerEvent.UpstreamRemoved(upstreamId));
    }

    void onEvidence(UpstreamDescription upstream, Evidence evidence) {
        EvidenceCodec.toEvent(upstream.upstreamId(), upstream.incarnation(), evidence)
                .ifPresent(this::handle);
    }

    void onOrderResult(dev.wigeonward.wire.generated.OrderResult message) {
        OrderCodec.toResult(message)
                .ifPresent(result -> handle(new ControllerEvent.OrderAnswered(message.getOrderId(), result)));
    }

    void onVerdict(BadVerdict verdict) {
        handle(new ControllerEvent.VerdictReceived(verdict));
    }

    void onTick(long nowMillis) {
        if (nowMillis >= nextCheckMillis) {
            nextCheckMillis = nowMillis + LEASE_CHECK_MILLIS;
            checkLease(nowMillis);
        }
        handle(new ControllerEvent.Tick());
    }

    private void checkLease(long nowMillis) {
        OptionalLong held = leaseFencingNumber.get();
        if (held.isEmpty()) {
            if (fencingNumber > 0) {
                fencingNumber = 0;
                handle(new ControllerEvent.LeaseLost());
            }
            return;
        }
        if (held.getAsLong() == fencingNumber) {
            handle(new ControllerEvent.LeaseRenewed(nowMillis + LEASE_VALIDITY_MILLIS));
            return;
        }
        if (!readingRecords) {
            readingRecords = true;
            readRecordsAndStart(held.getAsLong());
        }
    }

    /**
     * Reads all rollout records and then starts the controller. The read follows the acquisition of the lease so that
     * it sees every write of the previous holder.
     */
    private void readRecordsAndStart(long newNumber) {
        store.readAll(records -> decisionThread.accept(() -> {
            readingRecords = false;
            OptionalLong held = leaseFencingNumber.get();
            if (records.isEmpty() || held.isEmpty() || held.getAsLong() != newNumber) {
                return;
            }
            fencingNumber = newNumber;
            LOG.log(Level.INFO, "acquired the controller lease with fencing number {0}", Long.toString(newNumber));
            handle(new ControllerEvent.LeaseAcquired(newNumber, clock.millis() + LEASE_VALIDITY_MILLIS, records.get()));
        }));
    }

    /** Returns the current state of all rollouts. */
    List<RolloutReport> reports() {
        return controller.reports(clock.millis());
    }

    /** Returns the reports of the latest {@value #MAX_STEP_REPORTS} steps, newest first. */
    List<RolloutReport> steps() {
        return List.copyOf(steps);
    }

    private void handle(ControllerEvent event) {
        controller.handle(event, clock.millis()).forEach(this::apply);
    }

    private void apply(ControllerEffect effect) {
        if (effect instanceof ControllerEffect.WriteRecord write) {
            String model = write.record().model();
            store.write(
                    write.record(),
                    write.expectedRevision(),
                    (answer, revision) -> decisionThread.accept(() -> handle(new ControllerEvent.WriteAnswered(
                            model, write.record().writeId(), answer, revision))));
        } else if (effect instanceof ControllerEffect.ReadRecord read) {
            store.read(
                    read.model(),
                    stored ->
                            decisionThread.accept(() -> handle(new ControllerEvent.RecordRead(read.model(), stored))));
        } else if (effect instanceof ControllerEffect.SendOrder send) {
            links.send(send.upstreamId(), OrderCodec.toFrame(send.order()));
        } else if (effect instanceof ControllerEffect.PublishStages publish) {
            facts.publishStages(publish.stages(), clock.millis());
        } else if (effect instanceof ControllerEffect.PublishVerdict publish) {
            facts.publishVerdict(publish.verdict());
        } else if (effect instanceof ControllerEffect.ReportStep step) {
            LOG.log(Level.INFO, "version move step: {0}", step.report());
            steps.addFirst(step.report());
            if (steps.size() > MAX_STEP_REPORTS) {
                steps.removeLast();
            }
        }
    }
}

package dev.wigeonward.entry.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import dev.wigeonward.common.vms.VmSnapshot;
import dev.wigeonward.core.membership.UpstreamMembership;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.revision.Revision;
import dev.wigeonward.core.revision.RevisionLog;
import dev.wigeonward.core.revision.RevisionRelay;
import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerStages;
import dev.wigeonward.core.rollout.EvaluationSettings;
import dev.wigeonward.core.rollout.RolloutController;
import dev.wigeonward.core.rollout.RolloutSettings;
import dev.wigeonward.core.rollout.StageView;
import dev.wigeonward.core.suspect.SuspectPartTable;
import dev.wigeonward.core.suspect.SuspectTable;
import dev.wigeonward.exchange.CurrentRules;
import dev.wigeonward.exchange.FactListener;
import dev.wigeonward.exchange.FactSync;
import dev.wigeonward.exchange.RevisionSync;
import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.Heartbeat;

/**
 * The control plane of an entry: membership, revisions, facts, rollouts, reading of the store and spend. Not
 * thread-safe; confined to the decision thread.
 */
public final class ControlPlane {
    private static final Logger LOG = System.getLogger(ControlPlane.class.getName());

    private final CurrentRules rules;
    private final MembershipHandler membership;
    private final RevisionSync revisions;
    private final FactSync facts;
    private final RolloutControllerRunner rolloutController;
    private final StoreReaderRole reader;
    private final SpendTracker spend;
    private final long drainLimitMillis;
    private final Consumer<Boolean> controllerCandidate;
    private final Map<String, UpstreamDescription> upstreams = new HashMap<>();

    /** Creates a control plane without peers and without a revision. */
    public ControlPlane(
            ControlPlaneDependencies dependencies,
            ControlPlaneLinks links,
            CurrentRules rules,
            SuspectTable suspects,
            SuspectPartTable suspectParts,
            StageView stages,
            RandomGenerator random,
            Consumer<Runnable> decisionThread) {
        this.rules = rules;
        this.membership = new MembershipHandler(UpstreamMembership.create(dependencies.entryId(), random), links);
        RevisionLog log = RevisionLog.create(RevisionLog.DEFAULT_MAX_REVISIONS, RevisionLog.DEFAULT_MAX_TEXT_CHARS);
        this.revisions = new RevisionSync(log, RevisionRelay.create(log, random), links, this::onRevisionAdopted);
        this.facts = new FactSync(suspects, suspectParts, stages, links, new ControlFactListener());
        this.rolloutController = new RolloutControllerRunner(
                new RolloutController(RolloutSettings.standard(), EvaluationSettings.standard()),
                dependencies.rolloutRecords(),
                dependencies.leaseFencingNumber(),
                facts,
                links,
                decisionThread,
                dependencies.clock());
        this.reader = new StoreReaderRole(dependencies.entryId(), dependencies.revisionWatch());
        this.spend = dependencies.spend();
        this.drainLimitMillis = dependencies.drainLimitMillis();
        this.controllerCandidate = dependencies.setControllerCandidate();
    }

    /** Starts watching the store and becomes a candidate for the controller lease. Call on the decision thread. */
    public void start() {
        reader.start();
        controllerCandidate.accept(true);
    }

    /** Updates membership, the store reader role and the lease candidacy from a new VM list. */
    public void onVmsListed(VmSnapshot snapshot, long nowMillis) {
        membership.onVmsListed(snapshot, nowMillis);
        reader.onVmsListed(snapshot);
        controllerCandidate.accept(reader.isReader());
    }

    /** Passes the result of a read of the newest stored revision to the revision synchronization. */
    public void onHeadRead(RevisionStore.HeadResult result, long nowMillis) {
        revisions.onHeadRead(result, nowMillis);
    }

    /** Registers an upstream whose agent is now connected. */
    public void onLinkUp(UpstreamDescription upstream, long nowMillis) {
        upstreams.put(upstream.upstreamId(), upstream);
        membership.onLinkUp(upstream, nowMillis);
        revisions.onLinkUp(upstream.upstreamId(), nowMillis);
        facts.onLinkUp(upstream.upstreamId(), nowMillis);
    }

    /** Handles a link that was lost or could not be opened. */
    public void onLinkDown(String upstreamId, long nowMillis) {
        membership.onLinkDown(upstreamId, nowMillis);
        revisions.onLinkDown(upstreamId, nowMillis);
        rolloutController.onLinkDown(upstreamId);
    }

    /** Handles the control content of a frame and records the frame as a sign of life of the agent. */
    public void onFrame(String upstreamId, Frame frame, long nowMillis) {
        membership.onFrame(upstreamId, frame.hasLeaving(), nowMillis);
        switch (frame.getBodyCase()) {
            case HEARTBEAT -> {
                revisions.onFrame(upstreamId, frame, nowMillis);
                if (frame.getHeartbeat().hasLoad()) {
                    rolloutController.onLoad(
                            upstreams.get(upstreamId), frame.getHeartbeat().getLoad());
                }
            }
            case REVISION_OFFER, REVISION_REQUEST, REVISION_DELTA, REVISION_SNAPSHOT ->
                revisions.onFrame(upstreamId, frame, nowMillis);
            case FACTS -> facts.onFrame(upstreamId, frame, nowMillis);
            case EVIDENCE -> rolloutController.onEvidence(upstreams.get(upstreamId), frame.getEvidence());
            case ORDER_RESULT -> rolloutController.onOrderResult(frame.getOrderResult());
            default -> {
                // The dispatcher handles frames about requests.
            }
        }
    }

    /** Runs the periodic work of all components. */
    public void onTick(long nowMillis) {
        membership.onTick(nowMillis);
        revisions.onTick(nowMillis);
        rolloutController.onTick(nowMillis);
        spend.onTick(nowMillis);
    }

    /** Returns the heartbeat frame of this entry with its current revision, fencing number and evidence request. */
    public Frame heartbeat() {
        Heartbeat.Builder heartbeat = Heartbeat.newBuilder()
                .setFencingNumber(rolloutController.fencingNumber())
                .setWantsEvidence(rolloutController.holdsLease());
        revisions.addTo(heartbeat);
        return Frame.newBuilder().setHeartbeat(heartbeat).build();
    }

    /** Returns the state of the control plane for the admin pages. */
    public Map<String, Object> status() {
        return Map.of(
                "revision", revisions.currentNumber(),
                "revision_by_agent", revisions.reportedNumbers(),
                "reads_store", reader.isReader(),
                "controller_fencing_number", rolloutController.fencingNumber(),
                "spend", spend.report(),
                "moves", rolloutController.reports(),
                "move_steps", rolloutController.steps());
    }

    /** Returns whether a rules revision is in force, without which the entry refuses requests. */
    public boolean hasRules() {
        return rules.current().isPresent();
    }

    private void onRevisionAdopted(Revision revision) {
        rules.adopt(revision);
        rules.current().ifPresent(set -> {
            if (set.longestDeadlineMillis() >= drainLimitMillis) {
                LOG.log(
                        Level.WARNING,
                        "longest deadline is {0} ms, expected less than the drain limit of {1} ms:"
                                + " a graceful shutdown may cut off running requests",
                        set.longestDeadlineMillis(),
                        drainLimitMillis);
            }
            rolloutController.onRules(set);
            spend.onRules(set);
        });
    }

    /** Passes received facts to the component that uses them. */
    private final class ControlFactListener implements FactListener {
        @Override
        public void onBadVerdict(BadVerdict verdict) {
            rolloutController.onVerdict(verdict);
        }

        @Override
        public void onStages(ControllerStages stages) {
            // Nothing to do: the version selector reads the stage view for each request.
        }
    }
}

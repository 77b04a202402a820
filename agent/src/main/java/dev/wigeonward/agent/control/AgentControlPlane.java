package dev.wigeonward.agent.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import dev.wigeonward.agent.upstream.UpstreamClient;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.revision.RevisionLog;
import dev.wigeonward.core.revision.RevisionRelay;
import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerStages;
import dev.wigeonward.core.rollout.EvidenceRecorder;
import dev.wigeonward.core.rollout.ModelVersion;
import dev.wigeonward.core.rollout.StageView;
import dev.wigeonward.core.suspect.SuspectPartFact;
import dev.wigeonward.core.suspect.SuspectPartKey;
import dev.wigeonward.core.suspect.SuspectPartListener;
import dev.wigeonward.core.suspect.SuspectPartTable;
import dev.wigeonward.core.suspect.SuspectTable;
import dev.wigeonward.core.suspect.UpstreamCrash;
import dev.wigeonward.exchange.CurrentRules;
import dev.wigeonward.exchange.EvidenceCodec;
import dev.wigeonward.exchange.FactListener;
import dev.wigeonward.exchange.FactSync;
import dev.wigeonward.exchange.FrameSender;
import dev.wigeonward.exchange.RevisionSync;
import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.Heartbeat;
import dev.wigeonward.wire.generated.Load;

/**
 * The control plane of an agent: revisions, facts, orders and evidence. Not thread-safe; confined to the decision
 * thread.
 */
public final class AgentControlPlane {
    private static final Logger LOG = System.getLogger(AgentControlPlane.class.getName());
    private static final long EVIDENCE_PERIOD_MILLIS = 500;
    /** Fraction of the slots in use above which a request counts as run under load. */
    private static final double UNDER_LOAD_THRESHOLD = 0.7;

    private final String upstreamIncarnation;
    private final SuspectTable suspects = SuspectTable.create();
    private final SuspectPartTable suspectParts = SuspectPartTable.create(new PartLogger());
    private final StageView stages = new StageView();
    private final EvidenceRecorder evidence = new EvidenceRecorder(UNDER_LOAD_THRESHOLD);
    private final Set<String> evidencePeers = new HashSet<>();
    private final RevisionSync revisions;
    private final FactSync facts;
    private final OrderExecutor orders;
    private final FrameSender sender;
    private long nextEvidenceMillis;

    /**
     * Creates a control plane without a revision.
     *
     * @param upstreamIncarnation name of this incarnation of the agent, which suspect reports contain
     * @param versions versions that the upstream serves before any order
     */
    public AgentControlPlane(
            String upstreamIncarnation,
            Set<String> versions,
            CurrentRules rules,
            UpstreamClient upstream,
            FencingNumberReader fencingNumbers,
            FrameSender sender,
            RandomGenerator random,
            Consumer<Runnable> decisionThread) {
        this.upstreamIncarnation = upstreamIncarnation;
        this.sender = sender;
        RevisionLog log = RevisionLog.create(RevisionLog.DEFAULT_MAX_REVISIONS, RevisionLog.DEFAULT_MAX_TEXT_CHARS);
        this.revisions = new RevisionSync(log, RevisionRelay.create(log, random), sender, rules::adopt);
        this.facts = new FactSync(suspects, suspectParts, stages, sender, new ControlFactListener());
        this.orders = new OrderExecutor(upstream, fencingNumbers, sender, decisionThread, versions);
    }

    /** Handles a new link to an entry. */
    public void onLinkUp(String peer, long nowMillis) {
        revisions.onLinkUp(peer, nowMillis);
        facts.onLinkUp(peer, nowMillis);
    }

    /** Handles the loss of the link to an entry. */
    public void onLinkDown(String peer, long nowMillis) {
        evidencePeers.remove(peer);
        revisions.onLinkDown(peer, nowMillis);
    }

    /** Handles the control content of a frame. */
    public void onFrame(String peer, Frame frame, long nowMillis) {
        switch (frame.getBodyCase()) {
            case HEARTBEAT -> {
                revisions.onFrame(peer, frame, nowMillis);
                orders.onFencingNumber(frame.getHeartbeat().getFencingNumber());
                if (frame.getHeartbeat().getWantsEvidence()) {
                    evidencePeers.add(peer);
                } else {
                    evidencePeers.remove(peer);
                }
            }
            case REVISION_OFFER, REVISION_REQUEST, REVISION_DELTA, REVISION_SNAPSHOT ->
                revisions.onFrame(peer, frame, nowMillis);
            case FACTS -> facts.onFrame(peer, frame, nowMillis);
            case ORDER -> orders.onOrder(frame.getOrder());
            default -> {
                // The dispatcher handles frames about requests.
            }
        }
    }

    /** Runs the periodic work and sends evidence to the entries that ask for it. */
    public void onTick(long nowMillis) {
        revisions.onTick(nowMillis);
        if (nowMillis < nextEvidenceMillis) {
            return;
        }
        nextEvidenceMillis = nowMillis + EVIDENCE_PERIOD_MILLIS;
        evidencePeers.forEach(peer -> evidence.counters(nowMillis)
                .forEach((key, counters) -> sender.send(peer, EvidenceCodec.toFrame(key, counters))));
    }

    /** Starts the observation of a request that is submitted to the upstream, as evidence on its version. */
    public EvidenceRecorder.Observation startObservation(
            RequestSpec request, String version, double load, long serviceMillis, long nowMillis) {
        return evidence.start(
                new ModelVersion(request.target(), version), request.route(), load, serviceMillis, nowMillis);
    }

    /** Publishes the fact that a request was running when the upstream died. */
    public void publishSuspect(RequestSpec request, String upstreamInstance, long nowMillis) {
        facts.publishSuspect(request.fingerprint(), upstreamIncarnation + "/" + upstreamInstance, nowMillis);
    }

    /** Publishes the fact that the upstream died while it began to answer a request. */
    public void publishCrash(RequestSpec request, String version, String upstreamInstance, long nowMillis) {
        UpstreamCrash crash = new UpstreamCrash(upstreamIncarnation + "/" + upstreamInstance, request.fingerprint(), 0);
        facts.publishSuspectParts(suspectParts.onUpstreamCrashed(request.promptParts(), version, crash, nowMillis));
    }

    /** Records that the upstream has got beyond the beginning of its answer to a request. */
    public void onAnswering(RequestSpec request, String version, long beganAtMillis, long nowMillis) {
        facts.publishSuspectParts(suspectParts.onAnswering(request.promptParts(), version, beganAtMillis, nowMillis));
    }

    /** Returns whether a verdict marks a version as bad, so that it must not get requests. */
    public boolean isBad(String model, String version) {
        return stages.isBad(model, version);
    }

    /** Replaces the served versions by those that the upstream reports, unless it reports none. */
    public void onVersionsReported(Set<String> versions) {
        orders.onVersions(versions);
    }

    /** Returns the versions that the upstream serves. */
    public Set<String> versions() {
        return orders.versions();
    }

    /** Returns the agent's heartbeat with its load. */
    public Frame heartbeat(Load load) {
        Heartbeat.Builder heartbeat =
                Heartbeat.newBuilder().setLoad(load).setFencingNumber(orders.highestFencingNumber());
        revisions.addTo(heartbeat);
        return Frame.newBuilder().setHeartbeat(heartbeat).build();
    }

    /** Returns the state of the control plane for the admin pages. */
    public Map<String, Object> status() {
        return Map.of(
                "revision", revisions.currentNumber(),
                "highest_fencing_number", orders.highestFencingNumber(),
                "versions", orders.versions(),
                "bad_versions", stages.badVerdicts(),
                "suspects", suspects.size(),
                "suspect_parts", suspectParts.size());
    }

    /** Passes received facts to the component that uses them. */
    private final class ControlFactListener implements FactListener {
        @Override
        public void onBadVerdict(BadVerdict verdict) {
            // Nothing to do: each dispatch reads the stage view.
        }

        @Override
        public void onStages(ControllerStages published) {
            orders.onFencingNumber(published.fencingNumber());
        }
    }

    /** Logger of changed restrictions on parts of prompts. */
    private static final class PartLogger implements SuspectPartListener {
        @Override
        public void onRefused(SuspectPartFact fact) {
            LOG.log(Level.WARNING, "requests with part {0} of their prompts are refused", fact.key());
        }

        @Override
        public void onCleared(SuspectPartKey key) {
            LOG.log(Level.INFO, "part {0} of prompts has been cleared by an answer", key);
        }
    }
}

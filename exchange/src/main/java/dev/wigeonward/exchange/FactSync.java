package dev.wigeonward.exchange;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerStages;
import dev.wigeonward.core.rollout.ModelVersion;
import dev.wigeonward.core.rollout.Stage;
import dev.wigeonward.core.rollout.StageView;
import dev.wigeonward.core.suspect.SuspectFact;
import dev.wigeonward.core.suspect.SuspectPartFact;
import dev.wigeonward.core.suspect.SuspectPartTable;
import dev.wigeonward.core.suspect.SuspectTable;
import dev.wigeonward.wire.generated.ControllerState;
import dev.wigeonward.wire.generated.Facts;
import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.MoveStage;
import dev.wigeonward.wire.generated.Suspect;
import dev.wigeonward.wire.generated.Verdict;

/**
 * Flooding protocol for monotonic facts: suspect requests and parts of prompts, bad versions, and the controller's
 * newest stages. Each process forwards the facts that are new to it to all its other peers, so that a fact reaches
 * every process in a few hops without a membership list. Not thread-safe; used on the decision thread only.
 */
public final class FactSync {
    private static final String NO_PEER = "";

    private final SuspectTable suspects;
    private final SuspectPartTable suspectParts;
    private final StageView stages;
    private final FrameSender sender;
    private final FactListener listener;

    /**
     * Creates a synchronizer that merges facts into the given tables of this process.
     *
     * @param listener called for verdicts and stages that are new to this process
     */
    public FactSync(
            SuspectTable suspects,
            SuspectPartTable suspectParts,
            StageView stages,
            FrameSender sender,
            FactListener listener) {
        this.suspects = suspects;
        this.suspectParts = suspectParts;
        this.stages = stages;
        this.sender = sender;
        this.listener = listener;
    }

    /** Sends all facts that this process has to a newly linked peer. */
    public void onLinkUp(String peer, long nowMillis) {
        Facts.Builder facts = Facts.newBuilder();
        suspects.activeFacts(nowMillis).forEach(fact -> facts.addSuspects(toMessage(fact)));
        suspectParts.facts(nowMillis).forEach(fact -> facts.addSuspectParts(SuspectPartCodec.toMessage(fact)));
        stages.badVerdicts().forEach(verdict -> facts.addVerdicts(toMessage(verdict)));
        ControllerStages newest = stages.forRelay(nowMillis);
        if (newest.fencingNumber() > 0) {
            facts.setController(toMessage(newest));
        }
        sender.send(peer, frame(facts));
    }

    /**
     * Merges the facts in a peer's frame and forwards the new ones to the other peers; ignores frames without facts.
     */
    public void onFrame(String peer, Frame frame, long nowMillis) {
        if (!frame.hasFacts()) {
            return;
        }
        Facts.Builder newFacts = Facts.newBuilder();
        for (Suspect suspect : frame.getFacts().getSuspectsList()) {
            toFact(suspect).flatMap(fact -> suspects.merge(fact, nowMillis)).ifPresent(merged -> {
                newFacts.addSuspects(toMessage(merged));
            });
        }
        List<SuspectPartFact> received = frame.getFacts().getSuspectPartsList().stream()
                .flatMap(part -> SuspectPartCodec.toFact(part).stream())
                .toList();
        suspectParts
                .mergeAll(received, nowMillis)
                .forEach(merged -> newFacts.addSuspectParts(SuspectPartCodec.toMessage(merged)));
        for (Verdict verdict : frame.getFacts().getVerdictsList()) {
            toVerdict(verdict).filter(this::mergeVerdict).ifPresent(merged -> newFacts.addVerdicts(toMessage(merged)));
        }
        if (frame.getFacts().hasController()) {
            ControllerStages published = toStages(frame.getFacts().getController());
            if (stages.apply(published, nowMillis)) {
                listener.onStages(published);
                newFacts.setController(toMessage(stages.forRelay(nowMillis)));
            }
        }
        forward(peer, newFacts);
    }

    /** Merges a verdict, calls the listener if it is new, and returns whether it is new. */
    private boolean mergeVerdict(BadVerdict verdict) {
        boolean isNew = stages.merge(List.of(verdict));
        if (isNew) {
            listener.onBadVerdict(verdict);
        }
        return isNew;
    }

    /** Records that an upstream died while it ran a request, and sends the resulting suspect to all peers. */
    public void publishSuspect(long fingerprint, String upstreamIncarnation, long nowMillis) {
        suspects.onUpstreamDied(fingerprint, upstreamIncarnation, nowMillis)
                .ifPresent(fact -> forward(NO_PEER, Facts.newBuilder().addSuspects(toMessage(fact))));
    }

    /** Sends facts on suspect parts of prompts, which this process has merged into its table, to all peers. */
    public void publishSuspectParts(List<SuspectPartFact> newer) {
        Facts.Builder facts = Facts.newBuilder();
        newer.forEach(fact -> facts.addSuspectParts(SuspectPartCodec.toMessage(fact)));
        forward(NO_PEER, facts);
    }

    /** Adds a verdict reached by this process and, if it is new, sends it to all peers. */
    public void publishVerdict(BadVerdict verdict) {
        if (mergeVerdict(verdict)) {
            forward(NO_PEER, Facts.newBuilder().addVerdicts(toMessage(verdict)));
        }
    }

    /** Applies the stages that this process publishes as controller and, if they are newer, sends them to all peers. */
    public void publishStages(ControllerStages published, long nowMillis) {
        if (stages.apply(published, nowMillis)) {
            listener.onStages(published);
            forward(NO_PEER, Facts.newBuilder().setController(toMessage(published)));
        }
    }

    private void forward(String exceptPeer, Facts.Builder facts) {
        boolean empty = facts.getSuspectsCount() == 0
                && facts.getSuspectPartsCount() == 0
                && facts.getVerdictsCount() == 0
                && !facts.hasController();
        if (!empty) {
            sender.sendToOthers(exceptPeer, frame(facts));
        }
    }

    private static Frame frame(Facts.Builder facts) {
        return Frame.newBuilder().setFacts(facts).build();
    }

    private static Suspect toMessage(SuspectFact fact) {
        return Suspect.newBuilder()
                .setFingerprint(fact.fingerprint())
                .addAllUpstreamIncarnations(fact.upstreamIncarnations())
                .build();
    }

    private static Optional<SuspectFact> toFact(Suspect message) {
        return message.getUpstreamIncarnationsCount() == 0
                ? Optional.empty()
                : Optional.of(new SuspectFact(
                        message.getFingerprint(), new HashSet<>(message.getUpstreamIncarnationsList())));
    }

    private static Verdict toMessage(BadVerdict verdict) {
        return Verdict.newBuilder()
                .setModel(verdict.version().model())
                .setVersion(verdict.version().version())
                .setReason(verdict.reason())
                .build();
    }

    private static Optional<BadVerdict> toVerdict(Verdict message) {
        return message.getModel().isEmpty() || message.getVersion().isEmpty()
                ? Optional.empty()
                : Optional.of(new BadVerdict(
                        new ModelVersion(message.getModel(), message.getVersion()), message.getReason()));
    }

    private static ControllerState toMessage(ControllerStages published) {
        ControllerState.Builder state = ControllerState.newBuilder()
                .setFencingNumber(published.fencingNumber())
                .setSequence(published.sequence());
        for (Stage stage : published.stages()) {
            state.addStages(MoveStage.newBuilder()
                    .setModel(stage.model())
                    .setOldVersion(stage.oldVersion())
                    .setNewVersion(stage.newVersion())
                    .setShareBasisPoints(stage.shareBasisPoints())
                    .setLeaseMillis(stage.leaseMillis())
                    .setJudgedGood(stage.hasGoodVerdict()));
        }
        return state.build();
    }

    private static ControllerStages toStages(ControllerState message) {
        List<Stage> list = message.getStagesList().stream()
                .map(stage -> new Stage(
                        stage.getModel(),
                        stage.getOldVersion(),
                        stage.getNewVersion(),
                        stage.getShareBasisPoints(),
                        stage.getLeaseMillis(),
                        stage.getJudgedGood()))
                .toList();
        return new ControllerStages(message.getFencingNumber(), message.getSequence(), list);
    }
}

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
import dev.wigeonward.core.suspect.SuspectTable;
import dev.wigeonward.wire.generated.ControllerState;
import dev.wigeonward.wire.generated.Facts;
import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.MoveStage;
import dev.wigeonward.wire.generated.Suspect;
import dev.wigeonward.wire.generated.Verdict;

/**
 * Floods facts that only grow: suspects, bad versions, and the controller's newest stages. A process passes on what is
 * new to it to all other peers, so that a fact reaches the fleet in a few hops without a list of processes. Used by the
 * decision thread only.
 */
public final class FactExchange {
    private static final String NO_PEER = "";

    private final SuspectTable suspects;
    private final StageView stages;
    private final FrameSender sender;
    private final FactListener listener;

    /** Returns an exchange over a process's own tables. */
    public FactExchange(SuspectTable suspects, StageView stages, FrameSender sender, FactListener listener) {
        this.suspects = suspects;
        this.stages = stages;
        this.sender = sender;
        this.listener = listener;
    }

    /** Tells a new peer all that is known. */
    public void onLinkUp(String peer, long nowMillis) {
        Facts.Builder facts = Facts.newBuilder();
        suspects.facts(nowMillis).forEach(fact -> facts.addSuspects(message(fact)));
        stages.badVerdicts().forEach(verdict -> facts.addVerdicts(message(verdict)));
        ControllerStages newest = stages.relayed(nowMillis);
        if (newest.fencingNumber() > 0) {
            facts.setController(message(newest));
        }
        sender.send(peer, frame(facts));
    }

    /** Merges a peer's facts and passes on those that were new. */
    public void onFrame(String peer, Frame frame, long nowMillis) {
        if (!frame.hasFacts()) {
            return;
        }
        Facts.Builder news = Facts.newBuilder();
        for (Suspect suspect : frame.getFacts().getSuspectsList()) {
            fact(suspect).flatMap(fact -> suspects.merge(fact, nowMillis)).ifPresent(grown -> {
                news.addSuspects(message(grown));
            });
        }
        for (Verdict verdict : frame.getFacts().getVerdictsList()) {
            verdict(verdict).filter(this::learn).ifPresent(learned -> news.addVerdicts(message(learned)));
        }
        if (frame.getFacts().hasController()) {
            ControllerStages published = stages(frame.getFacts().getController());
            if (stages.apply(published, nowMillis)) {
                listener.onStages(published);
                news.setController(message(stages.relayed(nowMillis)));
            }
        }
        passOn(peer, news);
    }

    private boolean learn(BadVerdict verdict) {
        boolean grown = stages.merge(List.of(verdict));
        if (grown) {
            listener.onVerdict(verdict);
        }
        return grown;
    }

    /** Adds a suspect that this process found and tells all peers. */
    public void publishSuspect(long fingerprint, String upstreamIncarnation, long nowMillis) {
        suspects.onUpstreamDied(fingerprint, upstreamIncarnation, nowMillis)
                .ifPresent(fact -> passOn(NO_PEER, Facts.newBuilder().addSuspects(message(fact))));
    }

    /** Adds a verdict that this process reached and tells all peers. */
    public void publishVerdict(BadVerdict verdict) {
        if (learn(verdict)) {
            passOn(NO_PEER, Facts.newBuilder().addVerdicts(message(verdict)));
        }
    }

    /** Takes over the stages that this process publishes as controller and tells all peers. */
    public void publishStages(ControllerStages published, long nowMillis) {
        if (stages.apply(published, nowMillis)) {
            listener.onStages(published);
            passOn(NO_PEER, Facts.newBuilder().setController(message(published)));
        }
    }

    private void passOn(String exceptPeer, Facts.Builder news) {
        boolean empty = news.getSuspectsCount() == 0 && news.getVerdictsCount() == 0 && !news.hasController();
        if (!empty) {
            sender.sendToOthers(exceptPeer, frame(news));
        }
    }

    private static Frame frame(Facts.Builder facts) {
        return Frame.newBuilder().setFacts(facts).build();
    }

    private static Suspect message(SuspectFact fact) {
        return Suspect.newBuilder()
                .setFingerprint(fact.fingerprint())
                .addAllUpstreamIncarnations(fact.upstreamIncarnations())
                .build();
    }

    private static Optional<SuspectFact> fact(Suspect message) {
        return message.getUpstreamIncarnationsCount() == 0
                ? Optional.empty()
                : Optional.of(new SuspectFact(
                        message.getFingerprint(), new HashSet<>(message.getUpstreamIncarnationsList())));
    }

    private static Verdict message(BadVerdict verdict) {
        return Verdict.newBuilder()
                .setModel(verdict.version().model())
                .setVersion(verdict.version().version())
                .setReason(verdict.reason())
                .build();
    }

    private static Optional<BadVerdict> verdict(Verdict message) {
        return message.getModel().isEmpty() || message.getVersion().isEmpty()
                ? Optional.empty()
                : Optional.of(new BadVerdict(
                        new ModelVersion(message.getModel(), message.getVersion()), message.getReason()));
    }

    private static ControllerState message(ControllerStages published) {
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
                    .setJudgedGood(stage.judgedGood()));
        }
        return state.build();
    }

    private static ControllerStages stages(ControllerState message) {
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

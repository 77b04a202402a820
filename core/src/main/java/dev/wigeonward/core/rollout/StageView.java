package dev.wigeonward.core.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What one entry knows of the moves: the controller's last stages and the versions shown to be bad.
 *
 * <p>Stages come in any order and more than once, from the controller or relayed by peers. Bad verdicts are merged as a
 * union and never removed, whoever reports them. Not safe for use by several threads.
 */
public final class StageView {
    /** Bounds how long an entry without contact to the controller sends requests to a version not yet judged. */
    public static final long MAX_LEASE_MILLIS = 10_000;

    private final Map<ModelVersion, BadVerdict> bad = new HashMap<>();
    private final Map<String, HeldStage> stages = new HashMap<>();
    private ControllerStages newest = new ControllerStages(0, 0, List.of());

    /**
     * Takes over a publication unless a newer one is known, and returns whether it did. A repetition does not renew the
     * lease.
     */
    public boolean apply(ControllerStages published, long nowMillis) {
        if (!published.isNewerThan(newest)) {
            return false;
        }
        newest = published;
        stages.clear();
        for (Stage stage : published.stages()) {
            long leaseMillis = Math.min(stage.leaseMillis(), MAX_LEASE_MILLIS);
            stages.put(stage.model(), new HeldStage(stage, nowMillis + leaseMillis));
        }
        return true;
    }

    /** Adds verdicts and returns whether any of them was new. */
    public boolean merge(Collection<BadVerdict> verdicts) {
        boolean grown = false;
        for (BadVerdict verdict : verdicts) {
            grown |= bad.putIfAbsent(verdict.version(), verdict) == null;
        }
        return grown;
    }

    /** Returns the stage of a model's move, whether or not its lease has run out. */
    public Optional<Stage> stage(String model) {
        return Optional.ofNullable(stages.get(model)).map(HeldStage::stage);
    }

    /** Returns the share that the new version of the model may get now, in 1/10,000. */
    public int shareBasisPoints(String model, long nowMillis) {
        HeldStage held = stages.get(model);
        if (held == null || isBad(model, held.stage.newVersion())) {
            return 0;
        }
        return held.stage.judgedGood() || nowMillis < held.expiresMillis ? held.stage.shareBasisPoints() : 0;
    }

    /** Returns whether the version has been shown to be bad. */
    public boolean isBad(String model, String version) {
        return bad.containsKey(new ModelVersion(model, version));
    }

    /** Returns all bad verdicts known, for peers. */
    public List<BadVerdict> badVerdicts() {
        return List.copyOf(bad.values());
    }

    /**
     * Returns the last publication for peers, with the time that its leases have left, so that passing it on does not
     * prolong them.
     */
    public ControllerStages relayed(long nowMillis) {
        List<Stage> left = newest.stages().stream()
                .map(stage -> stage.withLeaseMillis(Math.max(0, stages.get(stage.model()).expiresMillis - nowMillis)))
                .toList();
        return new ControllerStages(newest.fencingNumber(), newest.sequence(), left);
    }

    private record HeldStage(Stage stage, long expiresMillis) {}
}

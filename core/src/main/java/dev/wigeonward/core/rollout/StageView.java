package dev.wigeonward.core.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One entry's view of the rollouts: the newest stages published by the controller and all known bad verdicts.
 *
 * <p>Stages may arrive in any order and repeatedly, from the controller or relayed by peers. Bad verdicts are merged as
 * a union, whatever their source, and never removed. Not thread-safe.
 */
public final class StageView {
    /**
     * Maximum time for which an entry without contact to the controller sends requests to a version without a verdict.
     */
    public static final long MAX_LEASE_MILLIS = 10_000;

    private final Map<ModelVersion, BadVerdict> verdictsByVersion = new HashMap<>();
    private final Map<String, String> lastBadVersions = new HashMap<>();
    private final Map<String, LeasedStage> stages = new HashMap<>();
    private ControllerStages newest = new ControllerStages(0, 0, List.of());

    /**
     * Adopts a publication if it is newer than the current one, and returns whether it did. A repeated publication does
     * not renew the leases.
     */
    public boolean apply(ControllerStages published, long nowMillis) {
        if (!published.isNewerThan(newest)) {
            return false;
        }
        newest = published;
        stages.clear();
        for (Stage stage : published.stages()) {
            long leaseMillis = Math.min(stage.leaseMillis(), MAX_LEASE_MILLIS);
            stages.put(stage.model(), new LeasedStage(stage, nowMillis + leaseMillis));
        }
        return true;
    }

    /** Merges the verdicts into the known ones and returns whether any of them was new. */
    public boolean merge(Collection<BadVerdict> verdicts) {
        boolean added = false;
        for (BadVerdict verdict : verdicts) {
            if (verdictsByVersion.putIfAbsent(verdict.version(), verdict) == null) {
                lastBadVersions.put(verdict.version().model(), verdict.version().version());
                added = true;
            }
        }
        return added;
    }

    /** Returns the stage of a model's rollout, even if its lease has expired. */
    public Optional<Stage> stage(String model) {
        return Optional.ofNullable(stages.get(model)).map(LeasedStage::stage);
    }

    /** Returns the stage of a model's rollout if its lease has not expired. */
    public Optional<Stage> currentStage(String model, long nowMillis) {
        return Optional.ofNullable(stages.get(model))
                .filter(leased -> leased.isValid(nowMillis))
                .map(LeasedStage::stage);
    }

    /** Returns the share that the new version of the model may get now, in 1/10,000. */
    public int shareBasisPoints(String model, long nowMillis) {
        LeasedStage leased = stages.get(model);
        if (leased == null || isBad(model, leased.stage.newVersion())) {
            return 0;
        }
        return leased.isValid(nowMillis) ? leased.stage.shareBasisPoints() : 0;
    }

    /** Returns whether there is a bad verdict on the version. */
    public boolean isBad(String model, String version) {
        return verdictsByVersion.containsKey(new ModelVersion(model, version));
    }

    /** Returns the version of the model whose bad verdict was received last. */
    public Optional<String> lastBadVersion(String model) {
        return Optional.ofNullable(lastBadVersions.get(model));
    }

    /** Returns all known bad verdicts, to be sent to peers. */
    public List<BadVerdict> badVerdicts() {
        return List.copyOf(verdictsByVersion.values());
    }

    /**
     * Returns the newest publication, to be sent to peers, with the remaining time of its leases, so that relaying does
     * not extend them.
     */
    public ControllerStages forRelay(long nowMillis) {
        List<Stage> remaining = newest.stages().stream()
                .map(stage -> stage.withLeaseMillis(Math.max(0, stages.get(stage.model()).expiresMillis - nowMillis)))
                .toList();
        return new ControllerStages(newest.fencingNumber(), newest.sequence(), remaining);
    }

    private record LeasedStage(Stage stage, long expiresMillis) {
        boolean isValid(long nowMillis) {
            return stage.hasGoodVerdict() || nowMillis < expiresMillis;
        }
    }
}

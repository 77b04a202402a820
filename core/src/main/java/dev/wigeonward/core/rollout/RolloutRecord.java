package dev.wigeonward.core.rollout;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import com.google.common.base.Preconditions;

/**
 * State of a model's rollout, as written to the store.
 *
 * @param fencingNumber fencing number of the controller that wrote the record
 * @param writeId unique id by which the writer recognizes its own write after a lost reply
 * @param orderCount number of orders recorded so far in this rollout and the earlier ones of the model, from which
 *     order ids are formed; agents answer an id that they know with the result of the earlier order
 * @param intents recorded orders that are not known to be answered
 * @param badReasons reasons of the bad verdicts on versions of the model, by version; later records keep them
 * @param reason reason for which the phase was entered
 */
public record RolloutRecord(
        String model,
        String oldVersion,
        String newVersion,
        long deadlineMillis,
        int canaryBasisPoints,
        RolloutPhase phase,
        int shareBasisPoints,
        long phaseStartMillis,
        long fencingNumber,
        String writeId,
        int orderCount,
        List<OrderIntent> intents,
        Map<String, String> badReasons,
        String reason) {
    public RolloutRecord {
        Preconditions.checkArgument(!model.isEmpty(), "model must not be empty");
        Preconditions.checkArgument(
                !newVersion.equals(oldVersion),
                "newVersion of model %s must differ from oldVersion, but both are %s",
                model,
                newVersion);
        Objects.requireNonNull(phase, "phase");
        intents = List.copyOf(intents);
        badReasons = Map.copyOf(badReasons);
    }

    /** Creates the record of a new rollout in its first phase, without write id and fencing number. */
    static RolloutRecord planned(
            RolloutRule rule, String oldVersion, int orderCount, Map<String, String> badReasons, long nowMillis) {
        return new RolloutRecord(
                rule.model(),
                oldVersion,
                rule.toVersion(),
                rule.deadlineMillis(),
                rule.canaryBasisPoints(),
                RolloutPhase.PLANNED,
                0,
                nowMillis,
                0,
                "",
                orderCount,
                List.of(),
                badReasons,
                "asked by " + rule.askedBy());
    }

    /** Returns the new version if the rollout is done, or else the old version. */
    public String currentVersion() {
        return phase == RolloutPhase.DONE ? newVersion : oldVersion;
    }

    RolloutRecord withPhase(RolloutPhase nextPhase, int nextShareBasisPoints, long nowMillis, String nextReason) {
        return new RolloutRecord(
                model,
                oldVersion,
                newVersion,
                deadlineMillis,
                canaryBasisPoints,
                nextPhase,
                nextShareBasisPoints,
                nowMillis,
                fencingNumber,
                writeId,
                orderCount,
                intents,
                badReasons,
                nextReason);
    }

    RolloutRecord withDeadlineMillis(long millis) {
        return new RolloutRecord(
                model,
                oldVersion,
                newVersion,
                millis,
                canaryBasisPoints,
                phase,
                shareBasisPoints,
                phaseStartMillis,
                fencingNumber,
                writeId,
                orderCount,
                intents,
                badReasons,
                reason);
    }

    RolloutRecord withIntents(List<OrderIntent> nextIntents, int nextOrderCount) {
        return new RolloutRecord(
                model,
                oldVersion,
                newVersion,
                deadlineMillis,
                canaryBasisPoints,
                phase,
                shareBasisPoints,
                phaseStartMillis,
                fencingNumber,
                writeId,
                nextOrderCount,
                nextIntents,
                badReasons,
                reason);
    }

    /** Returns a copy for a new write, to which the given bad reasons are added; existing reasons are kept. */
    RolloutRecord withWrite(long writerFencingNumber, String nextWriteId, Map<String, String> moreBadReasons) {
        Map<String, String> allBadReasons = new TreeMap<>(moreBadReasons);
        allBadReasons.putAll(badReasons);
        return new RolloutRecord(
                model,
                oldVersion,
                newVersion,
                deadlineMillis,
                canaryBasisPoints,
                phase,
                shareBasisPoints,
                phaseStartMillis,
                writerFencingNumber,
                nextWriteId,
                orderCount,
                intents,
                allBadReasons,
                reason);
    }
}

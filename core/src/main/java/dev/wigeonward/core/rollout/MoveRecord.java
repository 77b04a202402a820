package dev.wigeonward.core.rollout;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import com.google.common.base.Preconditions;

/**
 * State of a model's move as kept in the store.
 *
 * @param fencingNumber fencing number of the controller that wrote it
 * @param writeId random or unique id by which the writer recognizes its own write after a lost reply
 * @param orderCount orders announced so far, from which order ids are made
 * @param intents orders announced and not known to be answered
 * @param badReasons versions of the model shown to be bad, with reasons; later records keep them
 * @param reason why the phase was entered
 */
public record MoveRecord(
        String model,
        String oldVersion,
        String newVersion,
        long deadlineMillis,
        int canaryBasisPoints,
        MovePhase phase,
        int shareBasisPoints,
        long phaseStartMillis,
        long fencingNumber,
        String writeId,
        int orderCount,
        List<OrderIntent> intents,
        Map<String, String> badReasons,
        String reason) {
    public MoveRecord {
        Preconditions.checkArgument(!model.isEmpty(), "model is empty");
        Preconditions.checkArgument(!newVersion.equals(oldVersion), "both versions are %s", newVersion);
        Objects.requireNonNull(phase, "phase");
        intents = List.copyOf(intents);
        badReasons = Map.copyOf(badReasons);
    }

    static MoveRecord planned(MoveRule rule, String oldVersion, Map<String, String> badReasons, long nowMillis) {
        return new MoveRecord(
                rule.model(),
                oldVersion,
                rule.toVersion(),
                rule.deadlineMillis(),
                rule.canaryBasisPoints(),
                MovePhase.PLANNED,
                0,
                nowMillis,
                0,
                "",
                0,
                List.of(),
                badReasons,
                "asked by " + rule.askedBy());
    }

    /** Returns the version in use when the move is over, or the old one before that. */
    public String settledVersion() {
        return phase == MovePhase.DONE ? newVersion : oldVersion;
    }

    MoveRecord withPhase(MovePhase nextPhase, int nextShareBasisPoints, long nowMillis, String why) {
        return new MoveRecord(
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
                why);
    }

    MoveRecord withDeadlineMillis(long millis) {
        return new MoveRecord(
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

    MoveRecord withIntents(List<OrderIntent> nextIntents, int nextOrderCount) {
        return new MoveRecord(
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

    MoveRecord withWrite(long writerFencingNumber, String nextWriteId, Map<String, String> moreBadReasons) {
        Map<String, String> allBadReasons = new TreeMap<>(moreBadReasons);
        allBadReasons.putAll(badReasons);
        return new MoveRecord(
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

package dev.wigeonward.standins.kv;

import java.util.Objects;

import com.google.common.base.Preconditions;

/**
 * Faults injected into the key-value service; admin calls are exempt.
 *
 * @param down whether and how calls fail without effect; open watches are closed
 * @param slowMillis delay of each answer after its call took effect
 * @param loseNextWrites number of next writes that take effect but get no answer
 * @param loseProbability probability that a write takes effect but gets no answer
 * @param dropProbability probability that a write has no effect and gets no answer
 * @param silentWatches whether watches stay open and send nothing
 * @param seed seed of the random choices
 * @param writesPerSecond limit of writes, 0 for none
 * @param readsPerSecond limit of reads, 0 for none; opening a watch counts as a read
 */
public record KvFaults(
        Outage down,
        long slowMillis,
        int loseNextWrites,
        double loseProbability,
        double dropProbability,
        boolean silentWatches,
        long seed,
        int writesPerSecond,
        int readsPerSecond) {
    /** Kind of outage as callers observe it. */
    public enum Outage {
        /** No outage. */
        NO,
        /** Calls are answered with an error that proves that they had no effect. */
        REFUSE,
        /** Connections are closed without an answer. */
        DROP
    }

    public KvFaults {
        down = Objects.requireNonNullElse(down, Outage.NO);
        Preconditions.checkArgument(slowMillis >= 0, "slow_millis is %s; expected at least 0", slowMillis);
        Preconditions.checkArgument(loseNextWrites >= 0, "lose_next_writes is %s; expected at least 0", loseNextWrites);
        Preconditions.checkArgument(
                loseProbability >= 0 && dropProbability >= 0 && loseProbability + dropProbability <= 1,
                "lose_probability is %s and drop_probability is %s; expected at least 0 and a sum of at most 1",
                loseProbability,
                dropProbability);
        Preconditions.checkArgument(
                writesPerSecond >= 0, "writes_per_second is %s; expected at least 0", writesPerSecond);
        Preconditions.checkArgument(readsPerSecond >= 0, "reads_per_second is %s; expected at least 0", readsPerSecond);
    }

    /** Returns a configuration without faults. */
    public static KvFaults none() {
        return new KvFaults(Outage.NO, 0, 0, 0, 0, false, 1, 0, 0);
    }

    /** Returns an outage of the given kind. */
    public static KvFaults down(Outage down) {
        return new KvFaults(down, 0, 0, 0, 0, false, 1, 0, 0);
    }

    /** Returns a delay of each answer. */
    public static KvFaults slow(long slowMillis) {
        return new KvFaults(Outage.NO, slowMillis, 0, 0, 0, false, 1, 0, 0);
    }

    /** Returns the loss of the answers to the next writes, which still take effect. */
    public static KvFaults loseNextAnswers(int writes) {
        return new KvFaults(Outage.NO, 0, writes, 0, 0, false, 1, 0, 0);
    }

    /** Returns random losses of writes, after or before they take effect. */
    public static KvFaults random(double loseProbability, double dropProbability, long seed) {
        return new KvFaults(Outage.NO, 0, 0, loseProbability, dropProbability, false, seed, 0, 0);
    }

    /** Returns a fault that makes watches send nothing while they stay open. */
    public static KvFaults withSilentWatches() {
        return new KvFaults(Outage.NO, 0, 0, 0, 0, true, 1, 0, 0);
    }

    /** Returns limits of calls per second. */
    public static KvFaults limits(int writesPerSecond, int readsPerSecond) {
        return new KvFaults(Outage.NO, 0, 0, 0, 0, false, 1, writesPerSecond, readsPerSecond);
    }
}

package dev.wigeonward.standins.kv;

import java.time.Clock;
import java.util.Random;

/** Applies the configured faults and the limits per second of the clock to calls; thread-safe. */
final class KvFaultInjector {
    private static final int MILLIS_PER_SECOND = 1_000;

    private final Clock clock;
    private KvFaults faults = KvFaults.none();
    private Random random = new Random(faults.seed());
    private int writesToLose;
    private long second;
    private int writesInSecond;
    private int readsInSecond;

    KvFaultInjector(Clock clock) {
        this.clock = clock;
    }

    /** Handling of a write under the configured faults. */
    enum WriteHandling {
        ANSWER,
        LOSE_AFTER_EFFECT,
        DROP_BEFORE_EFFECT
    }

    synchronized void set(KvFaults newFaults) {
        faults = newFaults;
        random = new Random(newFaults.seed());
        writesToLose = newFaults.loseNextWrites();
    }

    synchronized KvFaults faults() {
        return faults;
    }

    /** Counts a call; throws if it exceeds the limit of the current second. */
    synchronized void checkLimit(boolean write) {
        long nowSecond = clock.millis() / MILLIS_PER_SECOND;
        if (nowSecond != second) {
            second = nowSecond;
            writesInSecond = 0;
            readsInSecond = 0;
        }
        int calls = write ? ++writesInSecond : ++readsInSecond;
        int limit = write ? faults.writesPerSecond() : faults.readsPerSecond();
        if (limit > 0 && calls > limit) {
            throw new KvException(KvException.RESOURCE_EXHAUSTED, "etcdserver: too many requests");
        }
    }

    synchronized WriteHandling nextWriteHandling() {
        if (writesToLose > 0) {
            writesToLose--;
            return WriteHandling.LOSE_AFTER_EFFECT;
        }
        double draw = random.nextDouble();
        if (draw < faults.loseProbability()) {
            return WriteHandling.LOSE_AFTER_EFFECT;
        }
        return draw < faults.loseProbability() + faults.dropProbability()
                ? WriteHandling.DROP_BEFORE_EFFECT
                : WriteHandling.ANSWER;
    }
}

package dev.wigeonward.measure.moves;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

import dev.wigeonward.core.rollout.ControllerEffect;
import dev.wigeonward.core.rollout.ControllerEvent;
import dev.wigeonward.core.rollout.ControllerEvent.WriteOutcome;
import dev.wigeonward.core.rollout.StoredRecord;

/** A simulated key-value store with compare-and-swap, the controller lease, an outage and lost replies. */
final class SimulatedStore {
    static final long LEASE_MILLIS = 10_000;
    private static final int LOST_REPLIES_PERCENT = 5;

    private final Interval outage;
    private final SplittableRandom random;
    private final Map<String, StoredRecord> records = new TreeMap<>();
    private long revision;
    private long leaseFencingNumber;
    private long leaseEndMillis;

    SimulatedStore(Interval outage, SplittableRandom random) {
        this.outage = outage;
        this.random = random;
    }

    boolean isUp(long nowMillis) {
        return !outage.contains(nowMillis);
    }

    List<StoredRecord> records() {
        return List.copyOf(records.values());
    }

    /** Returns the fencing number of the controller key, 0 without a key, or -1 while the store is down. */
    long leaseFencingNumber(long nowMillis) {
        if (!isUp(nowMillis)) {
            return -1;
        }
        // The controller key is deleted when its lease expires.
        return nowMillis < leaseEndMillis ? leaseFencingNumber : 0;
    }

    /** Acquires the lease and returns its fencing number, or empty if the lease is held or the store is down. */
    Optional<Long> acquire(long nowMillis) {
        if (!isUp(nowMillis) || nowMillis < leaseEndMillis) {
            return Optional.empty();
        }
        revision++;
        leaseFencingNumber = revision;
        leaseEndMillis = nowMillis + LEASE_MILLIS;
        return Optional.of(leaseFencingNumber);
    }

    /** Renews the lease and returns whether it was still held with the fencing number. */
    boolean renew(long fencingNumber, long nowMillis) {
        if (fencingNumber != leaseFencingNumber || nowMillis >= leaseEndMillis) {
            return false;
        }
        leaseEndMillis = nowMillis + LEASE_MILLIS;
        return true;
    }

    /** Writes the record if the key has the expected revision, and returns the answer, which may be a lost reply. */
    ControllerEvent write(ControllerEffect.WriteRecord write, long nowMillis) {
        String model = write.record().model();
        WriteOutcome answer = WriteOutcome.UNAVAILABLE;
        long storedRevision = records.containsKey(model) ? records.get(model).revision() : 0;
        if (isUp(nowMillis) && storedRevision != write.expectedRevision()) {
            answer = WriteOutcome.COMPARE_FAILED;
        } else if (isUp(nowMillis)) {
            revision++;
            records.put(model, new StoredRecord(write.record(), revision));
            answer = random.nextInt(100) < LOST_REPLIES_PERCENT ? WriteOutcome.UNKNOWN : WriteOutcome.APPLIED;
        }
        return new ControllerEvent.WriteAnswered(model, write.record().writeId(), answer, revision);
    }

    /** Returns the stored record of the model. */
    ControllerEvent read(String model) {
        return new ControllerEvent.RecordRead(model, Optional.ofNullable(records.get(model)));
    }
}

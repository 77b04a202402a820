package dev.wigeonward.gateway.peer;

import java.io.IOException;
import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.wigeonward.core.schedule.LearnedUnit;
import dev.wigeonward.wire.generated.KeptUnits;
import dev.wigeonward.wire.generated.PeerUnit;

/** Messages of what entries have learned of the speed of upstreams. */
public final class LearnedUnits {
    private static final double MICROS_PER_MILLI = 1_000;
    /** Age of what an earlier start left behind: anything that a living entry has learned is newer. */
    private static final long KEPT_AGE_MILLIS = 3_600_000;

    private LearnedUnits() {}

    /** Returns the bytes that are kept for a later start. */
    public static byte[] encode(List<LearnedUnit> units) {
        KeptUnits.Builder kept = KeptUnits.newBuilder();
        units.forEach(unit -> kept.addUnits(message(unit).clearAgeMillis()));
        return kept.build().toByteArray();
    }

    /**
     * Returns what the bytes say, with an age that gives way to anything that was learned since.
     *
     * @throws IOException if the bytes are not from {@link #encode}
     */
    public static List<LearnedUnit> decode(byte[] bytes) throws IOException {
        try {
            return units(KeptUnits.parseFrom(bytes).getUnitsList()).stream()
                    .map(unit -> new LearnedUnit(unit.lifetime(), unit.unitMillis(), KEPT_AGE_MILLIS))
                    .toList();
        } catch (InvalidProtocolBufferException e) {
            throw new IOException("not what an entry keeps: " + e.getMessage(), e);
        }
    }

    static PeerUnit.Builder message(LearnedUnit unit) {
        return PeerUnit.newBuilder()
                .setLifetime(unit.lifetime())
                .setUnitMicros((int) Math.round(unit.unitMillis() * MICROS_PER_MILLI))
                .setAgeMillis((int) Math.min(Integer.MAX_VALUE, unit.ageMillis()));
    }

    static List<LearnedUnit> units(List<PeerUnit> messages) {
        return messages.stream()
                .filter(message -> message.getUnitMicros() > 0)
                .map(message -> new LearnedUnit(
                        message.getLifetime(), message.getUnitMicros() / MICROS_PER_MILLI, message.getAgeMillis()))
                .toList();
    }
}

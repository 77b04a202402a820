package dev.wigeonward.gateway.peer;

import java.io.IOException;
import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.wigeonward.core.schedule.ObservedUnitTime;
import dev.wigeonward.wire.generated.KeptUnits;
import dev.wigeonward.wire.generated.PeerUnit;

/** Encoding of observed unit times of upstreams, for peers and for the store. */
public final class UnitTimeCodec {
    private static final double MICROS_PER_MILLI = 1_000;
    /**
     * Age given to unit times that were stored before the start of this process, so that any unit time that a running
     * entry has observed counts as newer.
     */
    private static final long STORED_AGE_MILLIS = 3_600_000;

    private UnitTimeCodec() {}

    /** Returns the stored form of the unit times, without their ages. */
    public static byte[] encode(List<ObservedUnitTime> unitTimes) {
        KeptUnits.Builder stored = KeptUnits.newBuilder();
        unitTimes.forEach(unitTime -> stored.addUnits(toMessage(unitTime).clearAgeMillis()));
        return stored.build().toByteArray();
    }

    /**
     * Returns the stored unit times, with an age that makes any unit time observed since then take precedence.
     *
     * @throws IOException if the bytes are not valid output of {@link #encode}
     */
    public static List<ObservedUnitTime> decode(byte[] bytes) throws IOException {
        try {
            return fromMessages(KeptUnits.parseFrom(bytes).getUnitsList()).stream()
                    .map(unitTime ->
                            new ObservedUnitTime(unitTime.lifetimeId(), unitTime.unitTimeMillis(), STORED_AGE_MILLIS))
                    .toList();
        } catch (InvalidProtocolBufferException e) {
            throw new IOException("stored speeds cannot be decoded: " + e.getMessage(), e);
        }
    }

    static PeerUnit.Builder toMessage(ObservedUnitTime unitTime) {
        return PeerUnit.newBuilder()
                .setLifetime(unitTime.lifetimeId())
                .setUnitMicros((int) Math.round(unitTime.unitTimeMillis() * MICROS_PER_MILLI))
                .setAgeMillis((int) Math.min(Integer.MAX_VALUE, unitTime.ageMillis()));
    }

    static List<ObservedUnitTime> fromMessages(List<PeerUnit> messages) {
        return messages.stream()
                .filter(message -> message.getUnitMicros() > 0)
                .map(message -> new ObservedUnitTime(
                        message.getLifetime(), message.getUnitMicros() / MICROS_PER_MILLI, message.getAgeMillis()))
                .toList();
    }
}

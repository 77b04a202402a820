package dev.wigeonward.exchange;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.wigeonward.core.suspect.SuspectPartFact;
import dev.wigeonward.core.suspect.SuspectPartKey;
import dev.wigeonward.core.suspect.UpstreamCrash;
import dev.wigeonward.wire.generated.Facts;
import dev.wigeonward.wire.generated.SuspectPart;

/** Encoding of facts on suspect parts of prompts, for peers and for the store. */
public final class SuspectPartCodec {
    private SuspectPartCodec() {}

    /** Returns the stored form of the facts. */
    public static byte[] encode(List<SuspectPartFact> facts) {
        Facts.Builder stored = Facts.newBuilder();
        facts.forEach(fact -> stored.addSuspectParts(toMessage(fact)));
        return stored.build().toByteArray();
    }

    /**
     * Returns the stored facts.
     *
     * @throws IOException if the bytes are not valid output of {@link #encode}
     */
    public static List<SuspectPartFact> decode(byte[] bytes) throws IOException {
        try {
            return Facts.parseFrom(bytes).getSuspectPartsList().stream()
                    .flatMap(message -> toFact(message).stream())
                    .toList();
        } catch (InvalidProtocolBufferException e) {
            throw new IOException("stored suspect parts cannot be decoded: " + e.getMessage(), e);
        }
    }

    static SuspectPart toMessage(SuspectPartFact fact) {
        SuspectPart.Builder message = SuspectPart.newBuilder()
                .setPart(fact.key().part())
                .setVersion(fact.key().version())
                .addAllRefutedLifetimes(fact.refutedLifetimes())
                .setRefusals(fact.refusals())
                .setRefusedForMillis(toInt(fact.refusedForMillis()));
        fact.crashes()
                .forEach(crash -> message.addCrashes(dev.wigeonward.wire.generated.UpstreamCrash.newBuilder()
                        .setUpstreamLifetime(crash.upstreamLifetime())
                        .setFingerprint(crash.fingerprint())
                        .setAgeMillis(toInt(crash.ageMillis()))));
        return message.build();
    }

    private static int toInt(long millis) {
        return (int) Math.min(Integer.MAX_VALUE, millis);
    }

    /** Returns the fact, or empty if the message is malformed. */
    static Optional<SuspectPartFact> toFact(SuspectPart message) {
        boolean malformed = message.getRefusals() < 0
                || message.getRefusedForMillis() < 0
                || message.getCrashesList().stream()
                        .anyMatch(crash -> crash.getUpstreamLifetime().isEmpty() || crash.getAgeMillis() < 0);
        if (malformed) {
            return Optional.empty();
        }
        List<UpstreamCrash> crashes = message.getCrashesList().stream()
                .map(crash ->
                        new UpstreamCrash(crash.getUpstreamLifetime(), crash.getFingerprint(), crash.getAgeMillis()))
                .toList();
        return Optional.of(new SuspectPartFact(
                new SuspectPartKey(message.getPart(), message.getVersion()),
                crashes,
                new HashSet<>(message.getRefutedLifetimesList()),
                message.getRefusals(),
                message.getRefusedForMillis()));
    }
}

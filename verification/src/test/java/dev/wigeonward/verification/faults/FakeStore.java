package dev.wigeonward.verification.faults;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import dev.wigeonward.core.request.RequestId;

/** Store of claims with compare-and-swap; calls can fail, be slow, or take effect without a reply. */
final class FakeStore {
    private final Simulation simulation;
    private final Map<String, Claim> claims = new HashMap<>();
    private final boolean compares;
    private long lastClaim;
    boolean down;
    boolean repliesLost;
    long slowMillis;

    FakeStore(Simulation simulation, Mutation mutation) {
        this.simulation = simulation;
        this.compares = mutation != Mutation.STORE_WITHOUT_COMPARE;
    }

    /** Claim on a key; the outcome is the whole answer. */
    record Claim(
            String id,
            RequestId request,
            long fingerprint,
            String upstreamId,
            long upstreamIncarnation,
            Optional<String> outcome) {}

    String newClaimId() {
        return "c" + ++lastClaim;
    }

    /**
     * Replaces the claim of a key if its id is the expected one, or if the key has no claim and the expected id is
     * empty. A claim with an outcome is never replaced. The reply is the current claim.
     */
    void swap(Node caller, String key, String expectedId, Optional<Claim> next, Consumer<Optional<Claim>> reply) {
        call(
                caller,
                () -> {
                    Claim current = claims.get(key);
                    boolean matches = current == null
                            ? expectedId.isEmpty()
                            : current.id().equals(expectedId);
                    boolean open = current == null || current.outcome().isEmpty();
                    if (matches && open || !compares) {
                        simulation.reached(Step.CLAIM_APPLIED);
                        next.ifPresentOrElse(claim -> claims.put(key, claim), () -> claims.remove(key));
                    }
                    return Optional.ofNullable(claims.get(key));
                },
                reply);
    }

    void read(Node caller, String key, Consumer<Optional<Claim>> reply) {
        call(caller, () -> Optional.ofNullable(claims.get(key)), reply);
    }

    /** Runs a call after the latency; in an outage or with lost replies the caller receives nothing and times out. */
    private <T> void call(Node caller, Supplier<T> effect, Consumer<T> reply) {
        simulation.after(Simulation.LATENCY_MILLIS + slowMillis, () -> {
            if (down) {
                return;
            }
            T result = effect.get();
            if (!repliesLost) {
                simulation.after(Simulation.LATENCY_MILLIS, caller, () -> reply.accept(result));
            }
        });
    }

    /** Removes the claim of a key if it has one of the ids, and retries every 500 ms for the given rounds. */
    void cleanUp(Node caller, String key, Set<String> ids, int rounds) {
        read(caller, key, found -> found.filter(claim -> ids.contains(claim.id()))
                .ifPresent(claim -> swap(caller, key, claim.id(), Optional.empty(), ignored -> {})));
        if (rounds > 0) {
            simulation.after(500, caller, () -> cleanUp(caller, key, ids, rounds - 1));
        }
    }
}

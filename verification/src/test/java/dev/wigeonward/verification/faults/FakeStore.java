package dev.wigeonward.verification.faults;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import dev.wigeonward.core.request.RequestId;

/** Claims under compare-and-swap, with outages, slowness and replies lost after the effect. */
final class FakeStore {
    private final World world;
    private final Map<String, Claim> claims = new HashMap<>();
    private final boolean compares;
    private long lastClaim;
    boolean down;
    boolean repliesLost;
    long slowMillis;

    FakeStore(World world, Guards guards) {
        this.world = world;
        this.compares = guards != Guards.STORE_WITHOUT_COMPARE;
    }

    /** A claim on a key; the outcome is the whole answer. */
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

    /** Writes the claim if the key is held under the expected id, or by nobody for an empty one. */
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
                        world.reached(Step.CLAIM_APPLIED);
                        next.ifPresentOrElse(claim -> claims.put(key, claim), () -> claims.remove(key));
                    }
                    return Optional.ofNullable(claims.get(key));
                },
                reply);
    }

    void read(Node caller, String key, Consumer<Optional<Claim>> reply) {
        call(caller, () -> Optional.ofNullable(claims.get(key)), reply);
    }

    /** Calls that get no reply end silently; their callers use timeouts. */
    private <T> void call(Node caller, Supplier<T> effect, Consumer<T> reply) {
        world.after(World.LATENCY_MILLIS + slowMillis, () -> {
            if (down) {
                return;
            }
            T result = effect.get();
            if (!repliesLost) {
                world.after(World.LATENCY_MILLIS, caller, () -> reply.accept(result));
            }
        });
    }

    /** Removes claims under the given ids. */
    void cleanUp(Node caller, String key, Set<String> ids, int rounds) {
        read(caller, key, found -> found.filter(claim -> ids.contains(claim.id()))
                .ifPresent(claim -> swap(caller, key, claim.id(), Optional.empty(), ignored -> {})));
        if (rounds > 0) {
            world.after(500, caller, () -> cleanUp(caller, key, ids, rounds - 1));
        }
    }
}

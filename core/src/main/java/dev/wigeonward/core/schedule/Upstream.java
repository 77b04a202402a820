package dev.wigeonward.core.schedule;

import java.util.Optional;

import com.google.common.base.Preconditions;

/**
 * One lifetime of an upstream, as the list of upstreams shows it.
 *
 * @param id identifier of this lifetime
 * @param address numeric host and port
 * @param slots requests that it runs at once
 * @param draining true once it takes no new requests
 * @param bornMillis start of this lifetime if the upstream tells it; a restart may keep the identifier
 */
public record Upstream(
        String id,
        String service,
        String address,
        String zone,
        String version,
        int slots,
        boolean draining,
        Optional<Long> bornMillis) {
    public Upstream {
        Preconditions.checkArgument(slots > 0, "slots of %s is %s", id, slots);
    }

    /** Returns whether the other entry describes the same lifetime at the same address. */
    public boolean sameLifetime(Upstream other) {
        return id.equals(other.id) && address.equals(other.address) && bornMillis.equals(other.bornMillis);
    }
}

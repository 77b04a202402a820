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

    /** Returns a number that differs, almost surely, between entries that lead to other decisions. */
    public long signature() {
        long hash = id.hashCode();
        hash = 31 * hash + service.hashCode();
        hash = 31 * hash + address.hashCode();
        hash = 31 * hash + zone.hashCode();
        hash = 31 * hash + version.hashCode();
        hash = 31 * hash + slots;
        hash = 31 * hash + (draining ? 1 : 0);
        return 31 * hash + bornMillis.orElse(0L);
    }

    /** Returns a name that differs between lifetimes, also where a restart keeps the identifier. */
    public String lifetime() {
        return id + "/" + bornMillis.map(String::valueOf).orElse("");
    }

    /** Returns whether the other entry describes the same lifetime at the same address. */
    public boolean sameLifetime(Upstream other) {
        return id.equals(other.id) && address.equals(other.address) && bornMillis.equals(other.bornMillis);
    }
}

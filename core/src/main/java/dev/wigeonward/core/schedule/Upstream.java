package dev.wigeonward.core.schedule;

import java.util.Optional;

import com.google.common.base.Preconditions;

/**
 * Description of one lifetime of an upstream, from the list of upstreams.
 *
 * @param id identifier of this lifetime
 * @param address IP address and port
 * @param slots number of requests that it runs concurrently
 * @param draining whether it accepts no new requests
 * @param startedAtMillis start of this lifetime, if the upstream reports it; distinguishes lifetimes when a restart
 *     keeps the identifier
 */
public record Upstream(
        String id,
        String service,
        String address,
        String zone,
        String version,
        int slots,
        boolean draining,
        Optional<Long> startedAtMillis) {
    public Upstream {
        Preconditions.checkArgument(slots > 0, "slots of upstream %s must be positive but was %s", id, slots);
    }

    /**
     * Returns a hash of the fields that affect scheduling; descriptions that differ in them almost surely differ in it.
     */
    public long schedulingHash() {
        long hash = id.hashCode();
        hash = 31 * hash + service.hashCode();
        hash = 31 * hash + address.hashCode();
        hash = 31 * hash + zone.hashCode();
        hash = 31 * hash + version.hashCode();
        hash = 31 * hash + slots;
        hash = 31 * hash + (draining ? 1 : 0);
        return 31 * hash + startedAtMillis.orElse(0L);
    }

    /**
     * Returns an identifier of this lifetime, which changes at a restart even if the upstream keeps its {@link #id}.
     */
    public String lifetimeId() {
        return id + "/" + startedAtMillis.map(String::valueOf).orElse("");
    }

    /** Returns whether the other description is of the same lifetime at the same address. */
    public boolean sameLifetime(Upstream other) {
        return id.equals(other.id) && address.equals(other.address) && startedAtMillis.equals(other.startedAtMillis);
    }
}

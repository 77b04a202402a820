package dev.wigeonward.core.schedule;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.revision.Fingerprint;

/**
 * Description of one lifetime of an upstream, from the list of upstreams.
 *
 * @param id identifier of this lifetime
 * @param address IP address and port
 * @param slots number of requests that it runs concurrently
 * @param draining whether it accepts no new requests
 * @param startedAtMillis start of this lifetime, if the upstream reports it; distinguishes lifetimes when a restart
 *     keeps the identifier
 * @param cold what it states about being cold
 * @param evacuated whether its zone is evacuated, so that it gets no new requests; not part of the list
 */
public record Upstream(
        String id,
        String service,
        String address,
        String zone,
        String version,
        int slots,
        boolean draining,
        Optional<Long> startedAtMillis,
        ColdStatement cold,
        boolean evacuated) {
    public Upstream {
        Preconditions.checkArgument(slots > 0, "slots of upstream %s must be positive but was %s", id, slots);
    }

    /** Creates the description of an upstream that states nothing about being cold and whose zone is not evacuated. */
    public Upstream(
            String id,
            String service,
            String address,
            String zone,
            String version,
            int slots,
            boolean draining,
            Optional<Long> startedAtMillis) {
        this(id, service, address, zone, version, slots, draining, startedAtMillis, ColdStatement.ABSENT);
    }

    /** Creates the description of an upstream whose zone is not evacuated. */
    public Upstream(
            String id,
            String service,
            String address,
            String zone,
            String version,
            int slots,
            boolean draining,
            Optional<Long> startedAtMillis,
            ColdStatement cold) {
        this(id, service, address, zone, version, slots, draining, startedAtMillis, cold, false);
    }

    /** Returns this description with the given statement on its zone. */
    public Upstream withEvacuated(boolean zoneEvacuated) {
        return new Upstream(id, service, address, zone, version, slots, draining, startedAtMillis, cold, zoneEvacuated);
    }

    /**
     * Returns a fingerprint of all listed fields of the given upstreams, whose order does not count. The time for which
     * an upstream is cold counts down and is left out.
     */
    public static long fingerprint(Collection<Upstream> upstreams) {
        List<Upstream> sorted =
                upstreams.stream().sorted(Comparator.comparing(Upstream::id)).toList();
        return Fingerprint.start().addAll(sorted, Upstream::addTo).value();
    }

    private static void addTo(Fingerprint fingerprint, Upstream upstream) {
        fingerprint
                .add(upstream.id)
                .add(upstream.service)
                .add(upstream.address)
                .add(upstream.zone)
                .add(upstream.version)
                .add(upstream.slots)
                .add(upstream.draining)
                .add(upstream.startedAtMillis.isPresent())
                .add(upstream.startedAtMillis.orElse(0L))
                .add(upstream.cold.kind().ordinal());
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

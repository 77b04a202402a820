package dev.wigeonward.core.evacuation;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.schedule.Upstream;

/** Set of the zones that are evacuated. Not thread-safe. */
public final class EvacuatedZones {
    private final Set<String> zones = new TreeSet<>();

    /** Begins or ends the evacuation of a zone, and returns whether this is a change. */
    public boolean set(String zone, boolean evacuated) {
        Preconditions.checkArgument(!zone.isEmpty(), "zone must not be empty");
        return evacuated ? zones.add(zone) : zones.remove(zone);
    }

    /** Returns whether the upstream may be sent no request because of its zone. */
    public boolean includes(Upstream upstream) {
        return zones.contains(upstream.zone());
    }

    /** Returns the description of the upstream, which states whether its zone is evacuated. */
    public Upstream mark(Upstream upstream) {
        return upstream.withEvacuated(includes(upstream));
    }

    /** Returns the evacuated zones in order. */
    public List<String> zones() {
        return List.copyOf(zones);
    }

    /** Returns the evacuated zones in which there is no upstream, which the operator may have misspelled. */
    public List<String> withoutUpstream(Collection<Upstream> listed) {
        Set<String> empty = new TreeSet<>(zones);
        listed.forEach(upstream -> empty.remove(upstream.zone()));
        return List.copyOf(empty);
    }
}

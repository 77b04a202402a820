package dev.wigeonward.core.schedule;

import java.util.List;
import java.util.Set;

/** Restriction of requests to some versions of the upstreams, because of the parts of their prompts. */
public interface VersionRestriction {
    /** Restriction that allows all versions. */
    VersionRestriction NONE = (sharedParts, nowMillis) -> Set.of();

    /** Returns the versions that must not run a request whose prompt contains the given parts. */
    Set<String> refusedVersions(List<Long> sharedParts, long nowMillis);
}

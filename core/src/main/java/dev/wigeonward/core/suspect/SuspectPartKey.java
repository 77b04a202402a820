package dev.wigeonward.core.suspect;

import java.util.Objects;

/**
 * Subject of the evidence on a part of prompts: a part that crashes one version of the upstreams may do no harm to
 * another.
 *
 * @param part identifier of the part
 * @param version version of the upstreams that ran requests with the part
 */
public record SuspectPartKey(long part, String version) {
    public SuspectPartKey {
        Objects.requireNonNull(version, "version");
    }
}

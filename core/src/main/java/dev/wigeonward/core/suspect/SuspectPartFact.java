package dev.wigeonward.core.suspect;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import com.google.common.base.Preconditions;

/**
 * What one process knows of a suspect part of prompts. Facts on the same part merge in any order, and a refuted crash
 * stays refuted.
 *
 * @param crashes crashes that may be due to the part
 * @param refutedLifetimes lifetimes of upstreams whose crash is not due to the part
 * @param refusals number of times that requests with the part began to be refused
 * @param refusedForMillis time for which requests with the part are still refused, 0 if they are not
 */
public record SuspectPartFact(
        SuspectPartKey key,
        List<UpstreamCrash> crashes,
        Set<String> refutedLifetimes,
        int refusals,
        long refusedForMillis) {
    public SuspectPartFact {
        Objects.requireNonNull(key, "key");
        crashes = List.copyOf(crashes);
        refutedLifetimes = Set.copyOf(refutedLifetimes);
        Preconditions.checkArgument(refusals >= 0, "refusals is %s, expected no negative number", refusals);
        Preconditions.checkArgument(
                refusedForMillis >= 0, "refusedForMillis is %s, expected no negative number", refusedForMillis);
    }
}

package dev.wigeonward.core.placement;

import java.util.List;

import com.google.common.base.Preconditions;

/**
 * Load that an agent reported; outdated at least by the time that the report took to arrive.
 *
 * @param backlogMillis time to serve all queued and running requests of all entries, divided by the number of slots
 * @param running number of requests in the engine
 * @param queued number of requests in the agent's queue
 * @param cachedPrefixes hashes of prefixes that entered the cache since the last report
 * @param evictedPrefixes hashes of prefixes that left the cache since the last report
 */
public record LoadReport(
        long backlogMillis, int running, int queued, List<Long> cachedPrefixes, List<Long> evictedPrefixes) {
    public LoadReport {
        Preconditions.checkArgument(backlogMillis >= 0, "backlogMillis must not be negative but was %s", backlogMillis);
        cachedPrefixes = List.copyOf(cachedPrefixes);
        evictedPrefixes = List.copyOf(evictedPrefixes);
    }
}

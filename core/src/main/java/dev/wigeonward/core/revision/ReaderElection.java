package dev.wigeonward.core.revision;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.common.hash.Hashing;

/**
 * Selects the entries that read the store by rendezvous hashing within each failure domain. The result depends only on
 * the set of live entries: processes with the same set select the same readers, and the failure of one entry replaces
 * at most one reader.
 */
public final class ReaderElection {
    /**
     * Number of readers per failure domain; the second one covers the time until a failure of the first is detected.
     */
    public static final int READERS_PER_DOMAIN = 2;

    /** A live entry and the failure domain that it runs in. */
    public record LiveEntry(String id, String failureDomain) {
        public LiveEntry {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(failureDomain, "failureDomain");
        }
    }

    private ReaderElection() {}

    /** Returns the ids of the readers of all failure domains, up to {@link #READERS_PER_DOMAIN} for each. */
    public static Set<String> electReaders(Collection<LiveEntry> live) {
        Map<String, List<LiveEntry>> byDomain =
                live.stream().distinct().collect(Collectors.groupingBy(LiveEntry::failureDomain));
        return byDomain.values().stream()
                .flatMap(entries -> entries.stream()
                        .sorted(Comparator.comparingLong(ReaderElection::weight)
                                .reversed()
                                .thenComparing(LiveEntry::id))
                        .limit(READERS_PER_DOMAIN))
                .map(LiveEntry::id)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static long weight(LiveEntry entry) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(entry.failureDomain(), StandardCharsets.UTF_8)
                .putChar('/')
                .putString(entry.id(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}

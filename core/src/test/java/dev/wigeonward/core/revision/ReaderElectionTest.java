package dev.wigeonward.core.revision;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class ReaderElectionTest {
    /**
     * Guards against failure domains without readers, and against an election in which the failure of one entry
     * replaces readers that are still alive.
     */
    @Property(tries = 100)
    void failureOfOneEntryChangesAtMostOneReader(
            @ForAll @IntRange(min = 1, max = 60) int entries,
            @ForAll @IntRange(min = 1, max = 11) int domains,
            @ForAll @IntRange(max = 59) int failed) {
        List<ReaderElection.LiveEntry> live = IntStream.range(0, entries)
                .mapToObj(id -> new ReaderElection.LiveEntry("entry-" + id, "domain-" + id % domains))
                .toList();
        Set<String> readers = ReaderElection.electReaders(live);
        int expected = IntStream.range(0, Math.min(domains, entries))
                .map(domain -> Math.min(2, (entries - domain + domains - 1) / domains))
                .sum();
        assertThat(readers).hasSize(expected);
        String failedId = "entry-" + failed;
        Set<String> readersAfterFailure = ReaderElection.electReaders(
                live.stream().filter(entry -> !entry.id().equals(failedId)).toList());
        Set<String> survivingReaders = new HashSet<>(readers);
        survivingReaders.remove(failedId);
        assertThat(readersAfterFailure)
                .containsAll(survivingReaders)
                .hasSizeLessThanOrEqualTo(readers.size())
                .doesNotContain(failedId);
        assertThat(readersAfterFailure.size() - survivingReaders.size()).isLessThanOrEqualTo(1);
    }
}

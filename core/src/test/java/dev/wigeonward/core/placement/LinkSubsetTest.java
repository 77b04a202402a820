package dev.wigeonward.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class LinkSubsetTest {
    private interface AgentSelection {
        List<String> selectAgents(String entryId, List<String> entries, List<String> agents);
    }

    /**
     * Faulty selection of consecutive agents, starting at an index that depends on the entry's position in the list.
     */
    private static List<String> consecutive(String entryId, List<String> entries, List<String> agents) {
        int start = entries.indexOf(entryId) * LinkSubset.MIN_LINKS_PER_ENTRY;
        return IntStream.range(0, Math.min(agents.size(), 8))
                .mapToObj(offset -> agents.get((start + offset) % agents.size()))
                .sorted()
                .toList();
    }

    private static List<String> names(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(number -> prefix + number).toList();
    }

    private static Set<String> links(AgentSelection selection, List<String> entries, List<String> agents) {
        Set<String> links = new HashSet<>();
        entries.forEach(entry ->
                selection.selectAgents(entry, entries, agents).forEach(agent -> links.add(entry + "-" + agent)));
        return links;
    }

    private static List<String> without(List<String> all, String removed) {
        List<String> rest = new ArrayList<>(all);
        rest.remove(removed);
        return rest;
    }

    /** Guards against an agent without links from entries and against an entry without enough links to serve a pool. */
    @Property(tries = 60)
    void everyAgentAndEveryEntryHasItsMinimum(
            @ForAll @IntRange(min = 1, max = 40) int entryCount, @ForAll @IntRange(min = 1, max = 60) int agentCount) {
        List<String> entries = names("e", entryCount);
        List<String> agents = names("a", agentCount);
        Set<String> links = links(LinkSubset::selectAgents, entries, agents);
        int perAgent = LinkSubset.entriesPerAgent(entryCount, agentCount);
        int perEntry = Math.min(agentCount, LinkSubset.MIN_LINKS_PER_ENTRY);
        for (String agent : agents) {
            assertThat(links.stream().filter(link -> link.endsWith("-" + agent)).count())
                    .isGreaterThanOrEqualTo(perAgent);
        }
        for (String entry : entries) {
            assertThat(links.stream()
                            .filter(link -> link.startsWith(entry + "-"))
                            .count())
                    .isGreaterThanOrEqualTo(perEntry);
        }
    }

    /**
     * Guards against the removal of one entry or agent that moves links of unrelated ones, while the number of links
     * per agent is unchanged.
     */
    private static void checkStability(AgentSelection selection) {
        List<String> entries = names("e", 30);
        List<String> agents = names("a", 60);
        Set<String> before = links(selection, entries, agents);
        Set<String> afterEntry = links(selection, without(entries, "e7"), agents);
        Set<String> lost = new HashSet<>(before);
        lost.removeAll(afterEntry);
        assertThat(lost).allMatch(link -> link.startsWith("e7-"));
        Set<String> afterAgent = links(selection, entries, without(agents, "a11"));
        lost = new HashSet<>(before);
        lost.removeAll(afterAgent);
        assertThat(lost).allMatch(link -> link.endsWith("-a11"));
    }

    @Test
    void removalMovesOnlyItsOwnLinks() {
        checkStability(LinkSubset::selectAgents);
    }

    /** Guards against a check of the moved links that cannot fail. */
    @Test
    void checkFailsForConsecutiveAgents() {
        assertThatThrownBy(() -> checkStability(LinkSubsetTest::consecutive)).isInstanceOf(AssertionError.class);
    }
}

package dev.wigeonward.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.google.common.base.Preconditions;

/**
 * Which agents of a pool an entry links to. Each agent is linked from the k entries of highest rendezvous weight.
 * Random weights alone leave some entries with few links or none, so each entry also links to its own four agents of
 * highest weight. Both rules depend on the ids only, so that all processes with the same lists agree.
 */
public final class LinkSubset {
    /** Fewest links of an agent, unless there are fewer entries. */
    static final int MIN_LINKS_PER_AGENT = 7;

    /** Fewest links of an entry to a pool, unless the pool is smaller. */
    static final int MIN_LINKS_PER_ENTRY = 4;

    private LinkSubset() {}

    /** Returns the number of entries that each agent of a pool takes by its own weights. */
    public static int linksPerAgent(int entries, int agents) {
        Preconditions.checkArgument(entries > 0, "entries is %s", entries);
        Preconditions.checkArgument(agents > 0, "agents is %s", agents);
        long needed = ((long) MIN_LINKS_PER_ENTRY * entries + agents - 1) / agents;
        return (int) Math.min(entries, Math.max(MIN_LINKS_PER_AGENT, needed));
    }

    /**
     * Returns the agents that the entry links to, in order of their ids. Takes time proportional to the product of the
     * numbers of entries and agents.
     *
     * @param entryId the entry, which need not be in the list
     * @param entries ids of the live entries of the region
     * @param agents ids of the live agents of one pool in the region
     */
    public static List<String> agentsOf(String entryId, Collection<String> entries, Collection<String> agents) {
        if (agents.isEmpty()) {
            return List.of();
        }
        Set<String> linked = new TreeSet<>(takenBy(entryId, entries, agents));
        long ownHash = Rendezvous.hash(entryId);
        agents.stream()
                .map(agent -> new Weighted(agent, Rendezvous.weight(Rendezvous.hash(agent), ownHash)))
                .sorted(Weighted.HEAVIEST_FIRST)
                .limit(MIN_LINKS_PER_ENTRY)
                .forEach(each -> linked.add(each.id()));
        return List.copyOf(linked);
    }

    /** Returns how many agents take the entry by their own weights alone; used to measure that rule. */
    public static long linksByAgents(String entryId, Collection<String> entries, Collection<String> agents) {
        return takenBy(entryId, entries, agents).size();
    }

    private static List<String> takenBy(String entryId, Collection<String> entries, Collection<String> agents) {
        long ownHash = Rendezvous.hash(entryId);
        long[] otherHashes = entries.stream()
                .filter(entry -> !entry.equals(entryId))
                .mapToLong(Rendezvous::hash)
                .toArray();
        int linksPerAgent = linksPerAgent(otherHashes.length + 1, agents.size());
        return agents.stream()
                .filter(agent -> isAmongHeaviest(Rendezvous.hash(agent), ownHash, otherHashes, linksPerAgent))
                .toList();
    }

    /** Stops at the {@code count}-th heavier entry, which most agents reach after a few weights. */
    private static boolean isAmongHeaviest(long agentHash, long ownHash, long[] otherHashes, int count) {
        long ownWeight = Rendezvous.weight(agentHash, ownHash);
        int heavier = 0;
        for (long otherHash : otherHashes) {
            long weight = Rendezvous.weight(agentHash, otherHash);
            boolean isHeavier = weight > ownWeight || (weight == ownWeight && otherHash > ownHash);
            if (isHeavier && ++heavier == count) {
                return false;
            }
        }
        return true;
    }

    private record Weighted(String id, long weight) {
        private static final Comparator<Weighted> HEAVIEST_FIRST =
                Comparator.comparingLong(Weighted::weight).reversed().thenComparing(Weighted::id);
    }
}

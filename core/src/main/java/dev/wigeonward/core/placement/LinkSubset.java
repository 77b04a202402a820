package dev.wigeonward.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.google.common.base.Preconditions;

/**
 * Selection of the agents of a pool to which an entry opens links. Each agent is linked from the entries of highest
 * rendezvous weight, as many as {@link #entriesPerAgent} returns. Random weights alone leave some entries with few
 * links or none, so each entry also links to the four agents that have the highest weight for it. Both rules depend
 * only on the ids, so that all processes with the same lists compute the same links.
 */
public final class LinkSubset {
    /** Minimum number of links to an agent, unless there are fewer entries. */
    static final int MIN_LINKS_PER_AGENT = 7;

    /** Minimum number of links from an entry to a pool, unless the pool is smaller. */
    static final int MIN_LINKS_PER_ENTRY = 4;

    private LinkSubset() {}

    /** Returns the number of entries that each agent of a pool selects by its weights. */
    public static int entriesPerAgent(int entries, int agents) {
        Preconditions.checkArgument(entries > 0, "entries must be positive but was %s", entries);
        Preconditions.checkArgument(agents > 0, "agents must be positive but was %s", agents);
        long needed = ((long) MIN_LINKS_PER_ENTRY * entries + agents - 1) / agents;
        return (int) Math.min(entries, Math.max(MIN_LINKS_PER_AGENT, needed));
    }

    /**
     * Returns the agents that the entry links to, in order of their ids. Takes time proportional to the product of the
     * numbers of entries and agents.
     *
     * @param entryId id of the entry, which need not be in the list
     * @param entries ids of the live entries of the region
     * @param agents ids of the live agents of one pool in the region
     */
    public static List<String> selectAgents(String entryId, Collection<String> entries, Collection<String> agents) {
        if (agents.isEmpty()) {
            return List.of();
        }
        Set<String> linked = new TreeSet<>(selectedBy(entryId, entries, agents));
        long ownHash = Rendezvous.hash(entryId);
        agents.stream()
                .map(agent -> new Weighted(agent, Rendezvous.weight(Rendezvous.hash(agent), ownHash)))
                .sorted(Weighted.HEAVIEST_FIRST)
                .limit(MIN_LINKS_PER_ENTRY)
                .forEach(each -> linked.add(each.id()));
        return List.copyOf(linked);
    }

    /** Returns the number of agents that select the entry, without the links that the entry adds; for measurements. */
    public static long countLinksSelectedByAgents(
            String entryId, Collection<String> entries, Collection<String> agents) {
        return selectedBy(entryId, entries, agents).size();
    }

    private static List<String> selectedBy(String entryId, Collection<String> entries, Collection<String> agents) {
        long ownHash = Rendezvous.hash(entryId);
        long[] otherHashes = entries.stream()
                .filter(entry -> !entry.equals(entryId))
                .mapToLong(Rendezvous::hash)
                .toArray();
        int linksPerAgent = entriesPerAgent(otherHashes.length + 1, agents.size());
        return agents.stream()
                .filter(agent -> isAmongHeaviest(Rendezvous.hash(agent), ownHash, otherHashes, linksPerAgent))
                .toList();
    }

    /**
     * Returns whether the entry is among the {@code count} of highest weight for the agent. Stops at the
     * {@code count}-th entry of higher weight, which most agents reach after a few weights.
     */
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

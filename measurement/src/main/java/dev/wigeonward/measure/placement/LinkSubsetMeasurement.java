package dev.wigeonward.measure.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.IntStream;

import dev.wigeonward.core.placement.LinkSubset;
import dev.wigeonward.measure.Measurement;
import dev.wigeonward.measure.Report;

/**
 * Measures the links of each region at the target size, how many of them change when an entry or agent leaves, and the
 * time to compute them.
 */
public final class LinkSubsetMeasurement implements Measurement {
    static final int REGIONS = 4;
    static final int POOLS = 7;
    static final int ENTRIES = 1_400;
    static final int AGENTS = 10_000;

    private static final List<String> COLUMNS = List.of("subject", "min", "mean", "max");
    private static final int SMALL_POOL_AGENTS = 50;
    private static final int DEPARTURES = 20;
    private static final int TIMED_TRIALS = 50;

    @Override
    public String name() {
        return "link-subset";
    }

    @Override
    public String description() {
        return "links per entry and agent at 1,400 x 10,000 over 4 regions, links moved by a departure, time in ms";
    }

    @Override
    public Report run(long seed) {
        List<Region> regions = IntStream.range(0, REGIONS)
                .mapToObj(number -> Region.of(seed, number))
                .toList();
        LongSummaryStatistics perEntry = new LongSummaryStatistics();
        LongSummaryStatistics perEntryAndPool = new LongSummaryStatistics();
        LongSummaryStatistics perAgent = new LongSummaryStatistics();
        for (Region region : regions) {
            Set<Link> links = region.links();
            countBy(links, Link::entry).values().forEach(perEntry::accept);
            countBy(links, link -> link.entry() + "/" + link.pool()).values().forEach(perEntryAndPool::accept);
            countBy(links, Link::agent).values().forEach(perAgent::accept);
        }
        List<List<String>> rows = new ArrayList<>();
        rows.add(row("links per entry, all pools", perEntry));
        rows.add(row("links per entry and pool", perEntryAndPool));
        rows.add(row("links per agent", perAgent));
        addDepartureRows(rows, "", regions.get(0), new Random(seed));
        addDepartureRows(rows, ", pools of " + SMALL_POOL_AGENTS + " agents", Region.small(seed), new Random(seed));
        rows.add(timeRow(regions.get(0)));
        return new Report(COLUMNS, rows, notes(regions, perEntry), true, List.of());
    }

    /** Adds rows for the links that are closed and opened when a random entry or agent leaves. */
    private static void addDepartureRows(List<List<String>> rows, String size, Region region, Random random) {
        Set<Link> before = region.links();
        LongSummaryStatistics lostByEntry = new LongSummaryStatistics();
        LongSummaryStatistics gainedByEntry = new LongSummaryStatistics();
        LongSummaryStatistics lostByAgent = new LongSummaryStatistics();
        LongSummaryStatistics gainedByAgent = new LongSummaryStatistics();
        for (int departure = 0; departure < DEPARTURES; departure++) {
            String entry = region.entries.get(random.nextInt(region.entries.size()));
            Set<Link> after = region.withoutEntry(entry).links();
            lostByEntry.accept(difference(before, after).size());
            gainedByEntry.accept(difference(after, before).size());
            int pool = random.nextInt(POOLS);
            List<String> agents = region.agentsByPool.get("pool-" + pool);
            after = region.withoutAgent("pool-" + pool, agents.get(random.nextInt(agents.size())))
                    .links();
            lostByAgent.accept(difference(before, after).size());
            gainedByAgent.accept(difference(after, before).size());
        }
        rows.add(row("links lost when an entry leaves" + size, lostByEntry));
        rows.add(row("links opened when an entry leaves" + size, gainedByEntry));
        rows.add(row("links lost when an agent leaves" + size, lostByAgent));
        rows.add(row("links opened when an agent leaves" + size, gainedByAgent));
    }

    /** Returns the links of the first set that are not in the second. */
    private static Set<Link> difference(Set<Link> first, Set<Link> second) {
        Set<Link> difference = new HashSet<>(first);
        difference.removeAll(second);
        return difference;
    }

    private static List<String> timeRow(Region region) {
        LongSummaryStatistics micros = new LongSummaryStatistics();
        for (int trial = 0; trial < TIMED_TRIALS; trial++) {
            long startNanos = System.nanoTime();
            int links = region.linksOf(region.entries.get(trial)).size();
            long elapsedNanos = System.nanoTime() - startNanos;
            if (links > 0 && trial >= TIMED_TRIALS / 2) {
                micros.accept(TimeUnit.NANOSECONDS.toMicros(elapsedNanos));
            }
        }
        return List.of(
                "time for one entry to compute its links, ms",
                String.format(Locale.ROOT, "%.2f", micros.getMin() / 1_000.0),
                String.format(Locale.ROOT, "%.2f", micros.getAverage() / 1_000),
                String.format(Locale.ROOT, "%.2f", micros.getMax() / 1_000.0));
    }

    private static List<String> notes(List<Region> regions, LongSummaryStatistics perEntry) {
        return List.of(
                String.format(
                        Locale.ROOT,
                        "%d entries, %d agents, %d regions, %d pools of equal size in each region; %d links in all,"
                                + " against %d for all pairs",
                        ENTRIES,
                        AGENTS,
                        REGIONS,
                        POOLS,
                        perEntry.getSum(),
                        (long) ENTRIES * AGENTS),
                "links by the agents' weights alone would leave " + pairsWithFewLinks(regions)
                        + " pairs of entry and pool with fewer than 4 links",
                "the seed changes the ids; the last row is measured time and differs from run to run");
    }

    /**
     * Returns the number of pairs of entry and pool that would have fewer than 4 links if only the agents selected
     * links by their weights.
     */
    private static long pairsWithFewLinks(List<Region> regions) {
        long few = 0;
        for (Region region : regions) {
            Map<String, Long> linkCounts = new TreeMap<>();
            region.agentsByPool.forEach((pool, agents) -> region.entries.forEach(entry -> linkCounts.put(
                    entry + "/" + pool, LinkSubset.countLinksSelectedByAgents(entry, region.entries, agents))));
            few += linkCounts.values().stream().filter(count -> count < 4).count();
        }
        return few;
    }

    /** Returns the number of links for each value of the key. */
    private static Map<String, Long> countBy(Set<Link> links, Function<Link, String> key) {
        Map<String, Long> counts = new TreeMap<>();
        links.forEach(link -> counts.merge(key.apply(link), 1L, Long::sum));
        return counts;
    }

    private static List<String> row(String subject, LongSummaryStatistics statistics) {
        return List.of(
                subject,
                Long.toString(statistics.getMin()),
                String.format(Locale.ROOT, "%.1f", statistics.getAverage()),
                Long.toString(statistics.getMax()));
    }

    private record Link(String entry, String pool, String agent) {}

    /** The entries and agents of one region. */
    private record Region(List<String> entries, Map<String, List<String>> agentsByPool) {
        /**
         * Returns a region with the usual number of entries but few agents, where the links per agent depend on the
         * number of entries and agents.
         */
        private static Region small(long seed) {
            return of(seed, 0, POOLS * SMALL_POOL_AGENTS);
        }

        private static Region of(long seed, int number) {
            return of(seed, number, AGENTS / REGIONS);
        }

        private static Region of(long seed, int number, int agentCount) {
            String prefix = "s" + seed + "-r" + number + "-";
            List<String> entries = IntStream.range(0, ENTRIES / REGIONS)
                    .mapToObj(entry -> prefix + "entry-" + entry)
                    .toList();
            Map<String, List<String>> agentsByPool = new TreeMap<>();
            for (int agent = 0; agent < agentCount; agent++) {
                agentsByPool
                        .computeIfAbsent("pool-" + agent % POOLS, pool -> new ArrayList<>())
                        .add(prefix + "agent-" + agent);
            }
            return new Region(entries, agentsByPool);
        }

        private Region withoutEntry(String entry) {
            return new Region(
                    entries.stream().filter(each -> !each.equals(entry)).toList(), agentsByPool);
        }

        private Region withoutAgent(String pool, String agent) {
            Map<String, List<String>> agentsAfter = new TreeMap<>(agentsByPool);
            agentsAfter.put(
                    pool,
                    agentsByPool.get(pool).stream()
                            .filter(each -> !each.equals(agent))
                            .toList());
            return new Region(entries, agentsAfter);
        }

        private Set<Link> links() {
            Set<Link> links = new HashSet<>();
            entries.forEach(entry -> links.addAll(linksOf(entry)));
            return links;
        }

        private List<Link> linksOf(String entry) {
            List<Link> links = new ArrayList<>();
            agentsByPool.forEach((pool, agents) -> LinkSubset.selectAgents(entry, entries, agents)
                    .forEach(agent -> links.add(new Link(entry, pool, agent))));
            return links;
        }
    }
}

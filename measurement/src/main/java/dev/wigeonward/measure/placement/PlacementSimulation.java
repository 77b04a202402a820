package dev.wigeonward.measure.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;

import dev.wigeonward.core.placement.DomainLatency;
import dev.wigeonward.core.placement.LinkSubset;
import dev.wigeonward.core.placement.LoadReport;
import dev.wigeonward.core.placement.PlacementPolicy;
import dev.wigeonward.core.placement.PrefixIndex;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.request.EngineSpeed;
import org.HdrHistogram.Histogram;

/**
 * Entries that know only their own dispatches and old reports, in front of shared engines, in simulated time. All
 * random choices come from the seed, so that two policies get the same requests.
 */
final class PlacementSimulation {
    static final int UPSTREAMS = 120;
    static final int SLOTS = 8;
    static final long REPORT_PERIOD_MICROS = 1_000_000;
    static final long REPORT_DELAY_MICROS = 1_000_000;
    static final long REMOTE_EXTRA_MILLIS = 3;
    static final long WARM_UP_MICROS = 60_000_000;
    static final long ARRIVALS_END_MICROS = 600_000_000;

    private static final int DOMAINS = 3;
    private static final int[] DECODE_TOKENS_PER_SECOND = {25, 50, 100};
    private static final int PREFILL_FACTOR = 40;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MAX_RECORDED_MICROS = 36_000_000_000L;
    private static final int HISTOGRAM_DIGITS = 3;

    private final List<SimulatedUpstream> upstreams = new ArrayList<>();
    private final Map<String, SimulatedUpstream> upstreamsById = new TreeMap<>();
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Histogram completionMicros = new Histogram(MAX_RECORDED_MICROS, HISTOGRAM_DIGITS);
    private final SimulatedWorkload workload;
    private double arrivalsPerSecond;
    private long nowMicros;
    private long eventSequence;
    private long remote;
    private long placed;
    private long placedWithPrefix;

    /**
     * The entries of a run.
     *
     * @param linkSubset false if each entry links to all upstreams
     */
    record Fleet(int entries, boolean linkSubset) {}

    /** Makes the policy of one entry. */
    interface PolicyFactory {
        PlacementPolicy create(Random random, PrefixIndex prefixes, DomainLatency latency);
    }

    private PlacementSimulation(PolicyFactory factory, Fleet fleet, double load, long seed) {
        this.workload = new SimulatedWorkload(seed, fleet.entries());
        Random random = new Random(seed + 1);
        for (int number = 0; number < UPSTREAMS; number++) {
            int decode = DECODE_TOKENS_PER_SECOND[number % DECODE_TOKENS_PER_SECOND.length];
            EngineSpeed speed = new EngineSpeed(decode * PREFILL_FACTOR, decode);
            String domain = "domain-" + number / DECODE_TOKENS_PER_SECOND.length % DOMAINS;
            SimulatedUpstream upstream = new SimulatedUpstream(
                    new UpstreamDescription("upstream-" + number, 1, "model", "v1", domain, SLOTS, speed));
            upstreams.add(upstream);
            upstreamsById.put(upstream.description().upstreamId(), upstream);
            arrivalsPerSecond += load * SLOTS / SimulatedWorkload.meanServiceSeconds(speed);
            at(random.nextLong(REPORT_PERIOD_MICROS), () -> takeReport(upstream));
        }
        List<String> entryIds = IntStream.range(0, fleet.entries())
                .mapToObj(number -> "entry-" + number)
                .toList();
        for (int number = 0; number < fleet.entries(); number++) {
            List<SimulatedUpstream> linked = fleet.linkSubset()
                    ? LinkSubset.agentsOf(entryIds.get(number), entryIds, upstreamsById.keySet()).stream()
                            .map(upstreamsById::get)
                            .toList()
                    : upstreams;
            entries.add(new SimulatedEntry(factory, "domain-" + number % DOMAINS, linked, random.nextLong()));
        }
    }

    /**
     * Returns the result of one run.
     *
     * @param load offered work over what all engines can do with nothing cached
     */
    static Result run(PolicyFactory factory, Fleet fleet, double load, long seed) {
        PlacementSimulation simulation = new PlacementSimulation(factory, fleet, load, seed);
        simulation.at(0, simulation::arrive);
        simulation.runEvents();
        return simulation.result();
    }

    private void runEvents() {
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowMicros = event.atMicros();
            event.action().run();
        }
    }

    private Result result() {
        long hits = upstreams.stream().mapToLong(SimulatedUpstream::cacheHits).sum();
        return new Result(
                completionMicros.getTotalCount(),
                completionMicros.getMean() / MICROS_PER_MILLI,
                (double) completionMicros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                (double) completionMicros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                (double) hits / placedWithPrefix,
                (double) remote / placed);
    }

    private void arrive() {
        SimulatedRequest request = workload.next(nowMicros);
        SimulatedEntry entry = entries.get(request.entry());
        SimulatedEntry.Choice choice = entry.place(request, nowMillis());
        boolean isRemote = !choice.state().description().failureDomain().equals(entry.domain());
        placed++;
        placedWithPrefix += request.spec().work().prefixHash() == 0 ? 0 : 1;
        remote += isRemote ? 1 : 0;
        long oneWayMicros = isRemote ? REMOTE_EXTRA_MILLIS * MICROS_PER_MILLI / 2 : 0;
        SimulatedUpstream upstream = upstreamsById.get(choice.placement().upstreamId());
        SimulatedUpstream.Job job =
                new SimulatedUpstream.Job(request, () -> at(nowMicros + oneWayMicros, () -> complete(request, choice)));
        at(nowMicros + oneWayMicros, () -> {
            upstream.enqueue(job);
            startNext(upstream);
        });
        long nextMicros = nowMicros + workload.nextGapMicros(arrivalsPerSecond);
        if (nextMicros < ARRIVALS_END_MICROS) {
            at(nextMicros, this::arrive);
        }
    }

    private void startNext(SimulatedUpstream upstream) {
        upstream.startNext(nowMicros)
                .ifPresent(running -> at(nowMicros + running.serviceMicros(), () -> {
                    upstream.finish(running);
                    running.job().onEnded().run();
                    startNext(upstream);
                }));
    }

    private void complete(SimulatedRequest request, SimulatedEntry.Choice choice) {
        choice.state().onEnded(choice.placement().serviceMillis());
        if (request.arrivedAtMicros() >= WARM_UP_MICROS) {
            completionMicros.recordValue(nowMicros - request.arrivedAtMicros());
        }
    }

    private void takeReport(SimulatedUpstream upstream) {
        LoadReport report = upstream.report(nowMicros);
        at(
                nowMicros + REPORT_DELAY_MICROS,
                () -> entries.forEach(entry -> entry.onReport(upstream, report, nowMillis())));
        if (nowMicros + REPORT_PERIOD_MICROS < ARRIVALS_END_MICROS) {
            at(nowMicros + REPORT_PERIOD_MICROS, () -> takeReport(upstream));
        }
    }

    private long nowMillis() {
        return nowMicros / MICROS_PER_MILLI;
    }

    private void at(long atMicros, Runnable action) {
        events.add(new Event(atMicros, eventSequence++, action));
    }

    private record Event(long atMicros, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Result of one run; completion times are those of the requests that arrived after the warm-up.
     *
     * @param prefixHitShare requests with a prefix that found it cached
     * @param remoteShare requests placed in another failure domain
     */
    record Result(
            long requests,
            double meanMillis,
            double medianMillis,
            double percentile99Millis,
            double prefixHitShare,
            double remoteShare) {}
}

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
 * Simulates entries that share engines and know only their own dispatches and outdated load reports. All random choices
 * come from the seed, so that two policies receive the same requests.
 */
final class PlacementSimulation {
    static final int UPSTREAMS = 120;
    static final int SLOTS = 8;
    static final long REPORT_PERIOD_MICROS = 1_000_000;
    /** Age of a load report when it reaches the entries. */
    static final long REPORT_DELAY_MICROS = 1_000_000;
    /** Round-trip time added by an upstream in another failure domain. */
    static final long REMOTE_EXTRA_MILLIS = 3;
    /** Requests that arrive before this time are left out of the results. */
    static final long WARM_UP_MICROS = 60_000_000;

    static final long ARRIVALS_END_MICROS = 600_000_000;

    private static final int DOMAINS = 3;
    private static final int[] DECODE_TOKENS_PER_SECOND = {25, 50, 100};
    private static final int PREFILL_TOKENS_PER_DECODED_TOKEN = 40;
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
    private long remoteCount;
    private long placedCount;
    private long placedWithPrefixCount;

    /**
     * The entries of a simulation.
     *
     * @param entries number of entries
     * @param linkSubset whether each entry links to a subset of the upstreams instead of all
     */
    record Fleet(int entries, boolean linkSubset) {}

    /** Creates the placement policy of one entry. */
    interface PolicyFactory {
        PlacementPolicy create(Random random, PrefixIndex prefixes, DomainLatency latency);
    }

    private PlacementSimulation(PolicyFactory factory, Fleet fleet, double load, long seed) {
        this.workload = new SimulatedWorkload(seed, fleet.entries());
        Random random = new Random(seed + 1);
        for (int number = 0; number < UPSTREAMS; number++) {
            int decode = DECODE_TOKENS_PER_SECOND[number % DECODE_TOKENS_PER_SECOND.length];
            EngineSpeed speed = new EngineSpeed(decode * PREFILL_TOKENS_PER_DECODED_TOKEN, decode);
            String domain = "domain-" + number / DECODE_TOKENS_PER_SECOND.length % DOMAINS;
            SimulatedUpstream upstream = new SimulatedUpstream(
                    new UpstreamDescription("upstream-" + number, 1, "model", "v1", domain, SLOTS, speed));
            upstreams.add(upstream);
            upstreamsById.put(upstream.description().upstreamId(), upstream);
            arrivalsPerSecond += load * SLOTS / SimulatedWorkload.meanServiceSeconds(speed);
            at(random.nextLong(REPORT_PERIOD_MICROS), () -> sendReport(upstream));
        }
        List<String> entryIds = IntStream.range(0, fleet.entries())
                .mapToObj(number -> "entry-" + number)
                .toList();
        for (int number = 0; number < fleet.entries(); number++) {
            List<SimulatedUpstream> linked = fleet.linkSubset()
                    ? LinkSubset.selectAgents(entryIds.get(number), entryIds, upstreamsById.keySet()).stream()
                            .map(upstreamsById::get)
                            .toList()
                    : upstreams;
            entries.add(new SimulatedEntry(factory, "domain-" + number % DOMAINS, linked, random.nextLong()));
        }
    }

    /**
     * Runs the simulation until all requests have ended and returns its result.
     *
     * @param load offered work divided by the work that all engines can do without cached prefixes
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
                (double) hits / placedWithPrefixCount,
                (double) remoteCount / placedCount);
    }

    private void arrive() {
        SimulatedRequest request = workload.next(nowMicros);
        SimulatedEntry entry = entries.get(request.entry());
        SimulatedEntry.Choice choice = entry.place(request, nowMillis());
        boolean isRemote = !choice.state().description().failureDomain().equals(entry.domain());
        placedCount++;
        placedWithPrefixCount += request.spec().work().prefixHash() == 0 ? 0 : 1;
        remoteCount += isRemote ? 1 : 0;
        long oneWayMicros = isRemote ? REMOTE_EXTRA_MILLIS * MICROS_PER_MILLI / 2 : 0;
        SimulatedUpstream upstream = upstreamsById.get(choice.placement().upstreamId());
        SimulatedUpstream.QueuedRequest queued = new SimulatedUpstream.QueuedRequest(
                request, () -> at(nowMicros + oneWayMicros, () -> complete(request, choice)));
        at(nowMicros + oneWayMicros, () -> {
            upstream.enqueue(queued);
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
                    running.queued().onEnded().run();
                    startNext(upstream);
                }));
    }

    private void complete(SimulatedRequest request, SimulatedEntry.Choice choice) {
        choice.state().onEnded(choice.placement().serviceMillis());
        if (request.arrivedAtMicros() >= WARM_UP_MICROS) {
            completionMicros.recordValue(nowMicros - request.arrivedAtMicros());
        }
    }

    /** Takes a load report of the upstream, delivers it later to all entries and schedules the next report. */
    private void sendReport(SimulatedUpstream upstream) {
        LoadReport report = upstream.report(nowMicros);
        at(
                nowMicros + REPORT_DELAY_MICROS,
                () -> entries.forEach(entry -> entry.onReport(upstream, report, nowMillis())));
        if (nowMicros + REPORT_PERIOD_MICROS < ARRIVALS_END_MICROS) {
            at(nowMicros + REPORT_PERIOD_MICROS, () -> sendReport(upstream));
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
     * Result of one simulation. The number of requests and the completion times cover the requests that arrived after
     * the warm-up, the shares cover all requests.
     *
     * @param prefixHitShare share of the requests with a prefix whose prefix was cached at the upstream
     * @param remoteShare share of the requests that were placed in another failure domain
     */
    record Result(
            long requests,
            double meanMillis,
            double medianMillis,
            double percentile99Millis,
            double prefixHitShare,
            double remoteShare) {}
}

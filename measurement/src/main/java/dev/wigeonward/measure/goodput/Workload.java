package dev.wigeonward.measure.goodput;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;

/** Generates requests of mixed lengths, tiers and workspaces with Poisson arrivals and a burst. */
final class Workload {
    /** Engine speed from which durations and deadlines of requests are computed. */
    static final EngineSpeed REFERENCE_SPEED = new EngineSpeed(4_000, 50);

    static final int ENTRIES = 2;
    static final long DURATION_MILLIS = 900_000;

    private static final int UNIT_PROMPT_TOKENS = 200;
    private static final int UNIT_OUTPUT_TOKENS = 40;
    /** Time of a unit at the reference speed: 200 / 4,000 s of prefill and 40 / 50 s of decoding. */
    private static final double UNIT_MILLIS = 850;

    /** Smallest and largest size of each length class, in units. */
    private static final int[][] SIZES = {{1, 3}, {10, 30}, {50, 100}};

    private static final double[] SIZE_SHARES = {0.7, 0.2, 0.1};
    private static final double MEAN_UNITS = 0.7 * 2 + 0.2 * 20 + 0.1 * 75;
    /** Shares of the lower tiers among the requests that are not of the highest tier. */
    private static final double[] LOWER_TIER_SHARES = {7.0 / 17, 10.0 / 17};

    private static final double[] WORKSPACE_SHARES = {0.4, 0.25, 0.15, 0.12, 0.08};
    private static final long BURST_START_MILLIS = 300_000;
    private static final long BURST_END_MILLIS = 330_000;
    /** Largest relative difference between the generated tokens and the estimate. */
    private static final double MAX_OUTPUT_ESTIMATE_ERROR = 0.3;

    private static final long DEADLINE_BASE_MILLIS = 3_000;
    private static final int DEADLINE_FACTOR = 3;

    private final RandomGenerator random;
    private final double[] tierShares;

    private Workload(long seed, double highestTierShare) {
        tierShares = new double[] {
            highestTierShare,
            LOWER_TIER_SHARES[0] * (1 - highestTierShare),
            LOWER_TIER_SHARES[1] * (1 - highestTierShare)
        };
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    /** Returns the requests of a simulation in the order of their arrival. */
    static List<Job> generate(long seed, Demand demand, double capacityMillisPerSecond) {
        Workload workload = new Workload(seed, demand.highestTierShare());
        double perMilli = demand.load() * capacityMillisPerSecond / (MEAN_UNITS * UNIT_MILLIS) / 1_000;
        List<Job> jobs = new ArrayList<>();
        double atMillis = 0;
        while (true) {
            boolean burst = atMillis >= BURST_START_MILLIS && atMillis < BURST_END_MILLIS;
            atMillis += workload.random.nextExponential() / (burst ? perMilli * demand.burstFactor() : perMilli);
            if (atMillis >= DURATION_MILLIS) {
                return jobs;
            }
            jobs.add(workload.job(jobs.size(), (long) atMillis));
        }
    }

    private Job job(int sequence, long arrivalMillis) {
        int[] size = SIZES[sampleIndex(SIZE_SHARES)];
        double units = size[0] + random.nextDouble() * (size[1] - size[0]);
        WorkEstimate work = new WorkEstimate((int) (units * UNIT_PROMPT_TOKENS), (int) (units * UNIT_OUTPUT_TOKENS), 0);
        double error = 1 + MAX_OUTPUT_ESTIMATE_ERROR * (2 * random.nextDouble() - 1);
        long deadlineMillis =
                arrivalMillis + DEADLINE_BASE_MILLIS + DEADLINE_FACTOR * work.serviceMillis(REFERENCE_SPEED);
        int entry = random.nextInt(ENTRIES);
        RequestSpec request = new RequestSpec(
                RequestId.of("entry-" + entry, 1, sequence),
                Optional.empty(),
                Tier.values()[sampleIndex(tierShares)],
                "workspace-" + sampleIndex(WORKSPACE_SHARES),
                "model",
                "model",
                work,
                deadlineMillis,
                true,
                sequence);
        return new Job(request, arrivalMillis, entry, (int) (work.outputTokens() * error));
    }

    /** Returns a random index with the given probabilities. */
    private int sampleIndex(double[] shares) {
        double draw = random.nextDouble();
        for (int i = 0; i < shares.length - 1; i++) {
            draw -= shares[i];
            if (draw < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }
}

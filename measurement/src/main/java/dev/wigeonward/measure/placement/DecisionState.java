package dev.wigeonward.measure.placement;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import dev.wigeonward.core.admission.AdmissionQueue;
import dev.wigeonward.core.admission.AdmissionResult;
import dev.wigeonward.core.admission.FairShareAdmissionQueue;
import dev.wigeonward.core.admission.WorkspaceWeights;
import dev.wigeonward.core.placement.DomainLatency;
import dev.wigeonward.core.placement.EarliestCompletion;
import dev.wigeonward.core.placement.KeyAffinity;
import dev.wigeonward.core.placement.LoadReport;
import dev.wigeonward.core.placement.Placement;
import dev.wigeonward.core.placement.PlacementPolicy;
import dev.wigeonward.core.placement.PrefixIndex;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.placement.UpstreamLoadState;
import dev.wigeonward.core.placement.UpstreamPool;
import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;

/** An entry's state for admission and placement, with a queue that holds one request of each workspace. */
final class DecisionState {
    static final int WORKSPACES = 2_500;

    private static final int[] DECODE_TOKENS_PER_SECOND = {25, 40, 60, 80, 100};
    private static final int DOMAINS = 11;
    private static final int SLOTS = 8;
    private static final int PREFIXES = 20_000;
    private static final long DEADLINE_MILLIS = Long.MAX_VALUE / 2;

    private final UpstreamPool pool = UpstreamPool.create();
    private final PrefixIndex prefixes = PrefixIndex.create();
    private final AdmissionQueue queue;
    private final PlacementPolicy policy;
    /**
     * Request that the next decision queues. It is the request dispatched last, so that each workspace always has one
     * request in the queue.
     */
    private RequestSpec nextArrival;

    private long nowMillis;

    private DecisionState(int upstreams, boolean keyed, long seed) {
        Random random = new Random(seed);
        for (int number = 0; number < upstreams; number++) {
            UpstreamLoadState state = UpstreamLoadState.of(description(number));
            state.onReport(new LoadReport(random.nextInt(20_000), SLOTS, random.nextInt(20), List.of(), List.of()), 0);
            pool.put(state);
            prefixes.onPlaced(state.description().upstreamId(), 1 + random.nextInt(PREFIXES));
        }
        policy = KeyAffinity.withFallback(
                EarliestCompletion.create(random, prefixes, DomainLatency.uniform("domain-0", 3)));
        queue = FairShareAdmissionQueue.create(WORKSPACES + 1, WorkspaceWeights.equal());
        for (int number = 0; number < WORKSPACES; number++) {
            queue.offer(request(number, keyed, random), 1_000, 0);
        }
        nextArrival = request(WORKSPACES, keyed, random);
    }

    /** Creates the state of an entry; if {@code keyed}, requests have keys and are placed by them. */
    static DecisionState create(int upstreams, boolean keyed, long seed) {
        return new DecisionState(upstreams, keyed, seed);
    }

    UpstreamPool pool() {
        return pool;
    }

    /** Queues a request, takes the next one from the queue, places it, and counts it as dispatched and as ended. */
    Placement decide() {
        nowMillis++;
        AdmissionResult result = queue.offer(nextArrival, 1_000, nowMillis);
        if (result instanceof AdmissionResult.Refused refused) {
            throw new IllegalStateException(
                    "queue for " + (WORKSPACES + 1) + " requests refused a request: " + refused.failure());
        }
        RequestSpec dispatched = queue.poll(nowMillis).orElseThrow();
        Placement placement = policy.choose(dispatched, pool, nowMillis).orElseThrow();
        UpstreamLoadState state = pool.find(placement.upstreamId()).orElseThrow();
        state.onDispatched(placement.serviceMillis());
        state.onEnded(placement.serviceMillis());
        nextArrival = dispatched;
        return placement;
    }

    private static UpstreamDescription description(int number) {
        int decode = DECODE_TOKENS_PER_SECOND[number % DECODE_TOKENS_PER_SECOND.length];
        EngineSpeed speed = new EngineSpeed(decode * 40, decode);
        String domain = "domain-" + number % DOMAINS;
        return new UpstreamDescription("upstream-" + number, 1, "model", "v1", domain, SLOTS, speed);
    }

    private static RequestSpec request(int number, boolean keyed, Random random) {
        return new RequestSpec(
                RequestId.of("entry-1", 1, number),
                keyed ? Optional.of(Long.toHexString(random.nextLong())) : Optional.empty(),
                Tier.STANDARD,
                "workspace-" + number % WORKSPACES,
                "model",
                "chat",
                new WorkEstimate(100 + random.nextInt(2_000), 10 + random.nextInt(500), 1 + random.nextInt(PREFIXES)),
                DEADLINE_MILLIS,
                true,
                number);
    }
}

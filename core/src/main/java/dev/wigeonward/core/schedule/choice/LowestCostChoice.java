package dev.wigeonward.core.schedule.choice;

import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.schedule.AvailableUpstream;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.SchedulingRound;
import dev.wigeonward.core.schedule.UpstreamChoice;

/** Policy that chooses the upstream with the lowest expected cost, and lets a request wait while that cost is high. */
public final class LowestCostChoice implements UpstreamChoice {
    /** Expected cost above which a placement is deferred while the request may still wait for a better one. */
    private static final double DEFERRAL_COST = 0.45;
    /** Expected cost above which an upstream is not chosen at all, because the answer would be of no use. */
    private static final double MAX_COST = 1.4;
    /** Fraction of the maximum wait after which placements are no longer deferred. */
    private static final double DEFERRAL_FRACTION = 0.6;

    private final PlacementCost placementCost;

    private LowestCostChoice(PlacementCost placementCost) {
        this.placementCost = placementCost;
    }

    /** Returns a policy for an entry in the given zone. */
    public static LowestCostChoice inZone(String zone) {
        return new LowestCostChoice(new PlacementCost(zone));
    }

    @Override
    public Optional<AvailableUpstream> choose(
            ScheduledRequest request, List<AvailableUpstream> available, long maxWaitMillis, SchedulingRound round) {
        boolean deferrable = request.ageMillis(round.nowMillis()) <= DEFERRAL_FRACTION * maxWaitMillis;
        double lowestCost = deferrable ? DEFERRAL_COST : MAX_COST;
        AvailableUpstream best = null;
        for (AvailableUpstream upstream : available) {
            double cost = placementCost.expectedCost(request, upstream, round);
            if (cost < lowestCost) {
                lowestCost = cost;
                best = upstream;
            }
        }
        return Optional.ofNullable(best);
    }
}

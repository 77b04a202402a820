package dev.wigeonward.measure.moves;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;
import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerStages;
import dev.wigeonward.core.rollout.ShareLimiter;
import dev.wigeonward.core.rollout.StageView;
import dev.wigeonward.core.rollout.VersionSelector;

/** A simulated entry that receives stages and verdicts over links with a delay. */
final class SimulatedEntry {
    private static final Tier[] TIERS = Tier.values();

    private final String id;
    private final Interval isolation;
    private final StageView view = new StageView();
    private final VersionSelector selector = new VersionSelector(view, new ShareLimiter());
    private final Deque<Message> inbox = new ArrayDeque<>();
    private long sequence;

    SimulatedEntry(String id, Interval isolation) {
        this.id = id;
        this.isolation = isolation;
    }

    boolean isReachable(long nowMillis) {
        return !isolation.contains(nowMillis);
    }

    /** Returns the end of the entry's isolation. */
    long reachableAgainMillis() {
        return isolation.toMillis();
    }

    /** Queues a publication with all known verdicts, which is lost if the entry is isolated when it arrives. */
    void send(Optional<ControllerStages> stages, List<BadVerdict> verdicts, long arrivalMillis) {
        inbox.add(new Message(arrivalMillis, stages, verdicts));
    }

    /** Applies the messages that have arrived by the given time. */
    void step(long nowMillis) {
        while (!inbox.isEmpty() && inbox.peek().arrivalMillis <= nowMillis) {
            Message message = inbox.remove();
            if (isReachable(nowMillis)) {
                view.merge(message.verdicts);
                message.stages.ifPresent(stages -> view.apply(stages, nowMillis));
            }
        }
    }

    Optional<String> select(Route route, Collection<String> versions, long nowMillis) {
        sequence++;
        RequestSpec request = new RequestSpec(
                RequestId.of(id, 1, sequence),
                Optional.empty(),
                TIERS[(int) (sequence % TIERS.length)],
                "workspace",
                RolloutCase.MODEL,
                route.name(),
                new WorkEstimate(1_000, 100, 0),
                nowMillis + 60_000,
                true,
                sequence);
        return selector.select(request, versions, nowMillis);
    }

    private record Message(long arrivalMillis, Optional<ControllerStages> stages, List<BadVerdict> verdicts) {}
}

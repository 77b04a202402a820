package dev.wigeonward.core.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Selector of the versions that may serve a request during a traffic shift. The target of an order gets no requests
 * while no stage of it is known, so an entry without contact to a controller sends it none. Not thread-safe.
 */
public final class ShiftChoice {
    private final StageView view;
    private final ShareLimiter limiter = new ShareLimiter();
    private final Map<String, ShiftOrder> orders = new HashMap<>();
    private final Map<String, FinalState> finalStates = new HashMap<>();

    private record FinalState(String target, ShiftState state, long revision) {}

    /** Creates a selector without orders that uses the stages and verdicts of the view. */
    public static ShiftChoice over(StageView view) {
        return new ShiftChoice(view);
    }

    private ShiftChoice(StageView view) {
        this.view = view;
    }

    /** Adds an order unless the same or a later one of the service is known, and returns whether it was added. */
    public boolean order(ShiftOrder order) {
        ShiftOrder known = orders.get(order.service());
        if (known != null && known.revision() >= order.revision()) {
            return false;
        }
        orders.put(order.service(), order);
        return true;
    }

    /** Adds the final state of a shift, as stored at the revision, unless the same or a later one is known. */
    public void settle(String service, String target, ShiftState state, long revision) {
        FinalState known = finalStates.get(service);
        if (known == null || known.revision() < revision) {
            finalStates.put(service, new FinalState(target, state, revision));
        }
    }

    /** Returns the service's order if no final state of it is known. */
    public Optional<ShiftOrder> open(String service) {
        return Optional.ofNullable(orders.get(service)).filter(order -> finalStateOf(order) == ShiftState.IN_PROGRESS);
    }

    /** Returns all orders without a known final state, by service. */
    public Map<String, ShiftOrder> open() {
        Map<String, ShiftOrder> open = new HashMap<>(orders);
        open.values().removeIf(order -> finalStateOf(order) != ShiftState.IN_PROGRESS);
        return open;
    }

    /** Returns the stored final state of the order, or in progress if there is none that is later than the order. */
    private ShiftState finalStateOf(ShiftOrder order) {
        FinalState end = finalStates.get(order.service());
        boolean applies = end != null && end.target().equals(order.target()) && end.revision() > order.revision();
        return applies ? end.state() : ShiftState.IN_PROGRESS;
    }

    /** Counts a request of the route and returns which versions may serve it. */
    public VersionBound choose(String service, String route, long nowMillis) {
        ShiftOrder order = orders.get(service);
        if (order == null) {
            return VersionBound.NONE;
        }
        String target = order.target();
        ShiftState end = finalStateOf(order);
        if (end == ShiftState.REVERTED || view.isBad(service, target)) {
            return new VersionBound(target, VersionBound.Kind.FORBIDDEN);
        }
        if (end == ShiftState.COMPLETED) {
            return new VersionBound(target, VersionBound.Kind.PREFERRED);
        }
        boolean hasStage = view.stage(service)
                .filter(stage -> stage.newVersion().equals(target))
                .isPresent();
        int share = hasStage ? view.shareBasisPoints(service, nowMillis) : 0;
        boolean chosen =
                share == Stage.ALL_BASIS_POINTS || limiter.count(new ModelVersion(service, target), route, share, true);
        return new VersionBound(target, chosen ? VersionBound.Kind.PREFERRED : VersionBound.Kind.AVOIDED);
    }
}

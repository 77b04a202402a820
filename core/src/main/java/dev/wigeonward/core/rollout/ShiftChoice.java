package dev.wigeonward.core.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses for each request which version may serve it while traffic is shifted. A version that was ordered and of which
 * no stage is known gets nothing, so that an entry which hears no controller sends it nothing. Not thread-safe.
 */
public final class ShiftChoice {
    private final StageView view;
    private final ShareLimiter limiter = new ShareLimiter();
    private final Map<String, ShiftOrder> orders = new HashMap<>();
    private final Map<String, Settled> settled = new HashMap<>();

    private record Settled(String target, ShiftState state, long revision) {}

    /** Returns a choice without orders, over the stages and verdicts of the view. */
    public static ShiftChoice over(StageView view) {
        return new ShiftChoice(view);
    }

    private ShiftChoice(StageView view) {
        this.view = view;
    }

    /** Takes an order unless a later one of the service is known; returns whether it was new. */
    public boolean order(ShiftOrder order) {
        ShiftOrder known = orders.get(order.service());
        if (known != null && known.revision() >= order.revision()) {
            return false;
        }
        orders.put(order.service(), order);
        return true;
    }

    /** Takes the end of a shift, as the store has it at the revision. */
    public void settle(String service, String target, ShiftState state, long revision) {
        Settled known = settled.get(service);
        if (known == null || known.revision() < revision) {
            settled.put(service, new Settled(target, state, revision));
        }
    }

    /** Returns the order of a service whose end is not known, if there is one. */
    public Optional<ShiftOrder> open(String service) {
        return Optional.ofNullable(orders.get(service)).filter(order -> ended(order) == ShiftState.IN_PROGRESS);
    }

    /** Returns all orders whose end is not known, by service. */
    public Map<String, ShiftOrder> open() {
        Map<String, ShiftOrder> open = new HashMap<>(orders);
        open.values().removeIf(order -> ended(order) != ShiftState.IN_PROGRESS);
        return open;
    }

    private ShiftState ended(ShiftOrder order) {
        Settled end = settled.get(order.service());
        boolean concerns = end != null && end.target().equals(order.target()) && end.revision() > order.revision();
        return concerns ? end.state() : ShiftState.IN_PROGRESS;
    }

    /** Returns which versions may serve a request of the route. */
    public VersionBound choose(String service, String route, long nowMillis) {
        ShiftOrder order = orders.get(service);
        if (order == null) {
            return VersionBound.NONE;
        }
        String target = order.target();
        ShiftState end = ended(order);
        if (end == ShiftState.REVERTED || view.isBad(service, target)) {
            return new VersionBound(target, VersionBound.Kind.FORBIDDEN);
        }
        if (end == ShiftState.COMPLETED) {
            return new VersionBound(target, VersionBound.Kind.PREFERRED);
        }
        boolean staged = view.stage(service)
                .filter(stage -> stage.newVersion().equals(target))
                .isPresent();
        int share = staged ? view.shareBasisPoints(service, nowMillis) : 0;
        boolean chosen =
                share == Stage.ALL_BASIS_POINTS || limiter.count(new ModelVersion(service, target), route, share, true);
        return new VersionBound(target, chosen ? VersionBound.Kind.PREFERRED : VersionBound.Kind.AVOIDED);
    }
}

package dev.wigeonward.core.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Selector of the versions that may serve a request during a service rollout. The target version of an order gets
 * no requests while no stage of it is known, so an entry without contact to a controller sends it none. Not
 * thread-safe.
 */
public final class RolloutVersionSelector {
    private final StageView view;
    private final ShareLimiter limiter = new ShareLimiter();
    private final Map<String, RolloutOrder> orders = new HashMap<>();
    private final Map<String, FinalState> finalStates = new HashMap<>();
    /** Orders that the operator has withdrawn. */
    private final Set<RolloutOrder> withdrawnOrders = new HashSet<>();

    private record FinalState(String target, RolloutState state, long revision) {}

    /** Creates a selector without orders that uses the stages and verdicts of the view. */
    public static RolloutVersionSelector of(StageView view) {
        return new RolloutVersionSelector(view);
    }

    private RolloutVersionSelector(StageView view) {
        this.view = view;
    }

    /** Adds an order unless the same or a later one of the service is known, and returns whether it was added. */
    public boolean addOrder(RolloutOrder order) {
        RolloutOrder known = orders.get(order.service());
        if (known != null && known.revision() >= order.revision()) {
            return false;
        }
        withdrawnOrders.remove(known);
        orders.put(order.service(), order);
        return true;
    }

    /**
     * Withdraws the service's order if it was written before the given revision, and returns whether there was one.
     * Until its final state is known, a withdrawn order is unfinished and has to be reverted.
     */
    public boolean withdrawOrder(String service, long revision) {
        RolloutOrder known = orders.get(service);
        return known != null && known.revision() < revision && withdrawnOrders.add(known);
    }

    /** Returns whether the operator has withdrawn the order. */
    public boolean isWithdrawn(RolloutOrder order) {
        return withdrawnOrders.contains(order);
    }

    /** Adds the final state of a rollout, as stored at the revision, unless the same or a later one is known. */
    public void addFinalState(String service, String target, RolloutState state, long revision) {
        FinalState known = finalStates.get(service);
        if (known == null || known.revision() < revision) {
            finalStates.put(service, new FinalState(target, state, revision));
        }
    }

    /** Returns the service's order if no final state of it is known. */
    public Optional<RolloutOrder> unfinishedOrder(String service) {
        return Optional.ofNullable(orders.get(service))
                .filter(order -> finalStateOf(order) == RolloutState.IN_PROGRESS);
    }

    /** Returns all orders without a known final state, by service. */
    public Map<String, RolloutOrder> unfinishedOrders() {
        Map<String, RolloutOrder> unfinished = new HashMap<>(orders);
        unfinished.values().removeIf(order -> finalStateOf(order) != RolloutState.IN_PROGRESS);
        return unfinished;
    }

    /** Returns the stored final state of the order, or in progress if there is none that is later than the order. */
    private RolloutState finalStateOf(RolloutOrder order) {
        FinalState finalState = finalStates.get(order.service());
        boolean applies = finalState != null
                && finalState.target().equals(order.targetVersion())
                && finalState.revision() > order.revision();
        return applies ? finalState.state() : RolloutState.IN_PROGRESS;
    }

    /**
     * Counts a request of the route and returns which versions may serve it. While an order has not been received, the
     * stages and verdicts of its rollout already limit its target version.
     */
    public VersionConstraint choose(String service, String route, long nowMillis) {
        RolloutOrder order = orders.get(service);
        if (order == null) {
            return view.stage(service)
                    .map(stage -> chooseByStage(service, stage.newVersion(), route, nowMillis))
                    .or(() -> view.lastBadVersion(service).map(RolloutVersionSelector::forbidden))
                    .orElse(VersionConstraint.NONE);
        }
        String target = order.targetVersion();
        RolloutState finalState = finalStateOf(order);
        if (finalState == RolloutState.COMPLETED && !view.isBad(service, target)) {
            return new VersionConstraint(target, VersionConstraint.Kind.PREFERRED);
        }
        // A withdrawn order may have left no other version behind, so that its target is not forbidden.
        if (isWithdrawn(order) && !view.isBad(service, target)) {
            return new VersionConstraint(target, VersionConstraint.Kind.AVOIDED);
        }
        return finalState == RolloutState.REVERTED
                ? forbidden(target)
                : chooseByStage(service, target, route, nowMillis);
    }

    private VersionConstraint chooseByStage(String service, String target, String route, long nowMillis) {
        if (view.isBad(service, target)) {
            return forbidden(target);
        }
        boolean hasStage = view.stage(service)
                .filter(stage -> stage.newVersion().equals(target))
                .isPresent();
        int share = hasStage ? view.shareBasisPoints(service, nowMillis) : 0;
        boolean chosen =
                share == Stage.ALL_BASIS_POINTS || limiter.count(new ModelVersion(service, target), route, share, true);
        return new VersionConstraint(
                target, chosen ? VersionConstraint.Kind.PREFERRED : VersionConstraint.Kind.AVOIDED);
    }

    private static VersionConstraint forbidden(String version) {
        return new VersionConstraint(version, VersionConstraint.Kind.FORBIDDEN);
    }
}

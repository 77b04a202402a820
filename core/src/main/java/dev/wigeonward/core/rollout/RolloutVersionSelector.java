package dev.wigeonward.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import dev.wigeonward.core.revision.StoreRevision;

/**
 * Selector of the versions that may serve a request during a service rollout. The target version of an order gets
 * no requests while no stage of it is known, so an entry without contact to a controller sends it none.
 *
 * <p>Revisions are store revisions as one number. The store may return from an older copy: an order that it then holds
 * again stays the same order, with its progress and its final state, and the final state is to be stored again. Not
 * thread-safe.
 */
public final class RolloutVersionSelector {
    private final StageView view;
    private final ShareLimiter limiter = new ShareLimiter();
    private final Map<String, RolloutOrder> orders = new HashMap<>();
    /** Latest revision at which the store held the order of a service. */
    private final Map<String, Long> orderRevisions = new HashMap<>();

    private final Map<String, FinalState> finalStates = new HashMap<>();
    /** Final states of current orders that were stored in an earlier era than the latest state of the service. */
    private final Map<String, FinalState> earlierFinalStates = new HashMap<>();
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
        if (known != null && orderRevisions.get(order.service()) >= order.revision()) {
            return false;
        }
        boolean heldAgain = known != null && isHeldAgain(known, order);
        orderRevisions.put(order.service(), order.revision());
        if (heldAgain) {
            return false;
        }
        withdrawnOrders.remove(known);
        orders.put(order.service(), order);
        earlierFinalStates.remove(order.service());
        return true;
    }

    /**
     * Returns whether the order, of a later era, is the known one, from the copy or written again. A reverted order
     * that has another revision than before was written by the operator for another attempt.
     */
    private boolean isHeldAgain(RolloutOrder known, RolloutOrder order) {
        StoreRevision before = StoreRevision.ofNumber(orderRevisions.get(order.service()));
        StoreRevision after = StoreRevision.ofNumber(order.revision());
        return before.era() < after.era()
                && known.targetVersion().equals(order.targetVersion())
                && known.deadlineMillis() - known.startMillis() == order.deadlineMillis() - order.startMillis()
                && !isWithdrawn(known)
                && (before.revision() == after.revision() || finalStateOf(known) != RolloutState.REVERTED);
    }

    /**
     * Withdraws the service's order if it was written before the given revision, and returns whether there was one.
     * Until its final state is known, a withdrawn order is unfinished and has to be reverted.
     */
    public boolean withdrawOrder(String service, long revision) {
        RolloutOrder known = orders.get(service);
        return known != null && orderRevisions.get(service) < revision && withdrawnOrders.add(known);
    }

    /** Returns whether the operator has withdrawn the order. */
    public boolean isWithdrawn(RolloutOrder order) {
        return withdrawnOrders.contains(order);
    }

    /** Adds the final state of a rollout, as stored at the revision, unless the same or a later one is known. */
    public void addFinalState(String service, String target, RolloutState state, long revision) {
        FinalState known = finalStates.get(service);
        if (known != null && known.revision() >= revision) {
            return;
        }
        RolloutOrder order = orders.get(service);
        if (known != null && order != null && isFinalStateOf(order, known) && !sameEra(known.revision(), revision)) {
            // The copy from which the store has returned may show a state from before the end of the rollout.
            earlierFinalStates.put(service, known);
        }
        finalStates.put(service, new FinalState(target, state, revision));
    }

    /** Returns the final states of orders that the store lacks in the given era. */
    public List<FinalRolloutState> unstoredFinalStates(long era) {
        List<FinalRolloutState> unstored = new ArrayList<>();
        for (RolloutOrder order : orders.values()) {
            String service = order.service();
            RolloutState state = finalStateOf(order);
            FinalState latest = finalStates.get(service);
            boolean stored = latest != null
                    && isFinalStateOf(order, latest)
                    && StoreRevision.ofNumber(latest.revision()).era() >= era
                    && latest.revision() > orderRevisions.get(service);
            if (state != RolloutState.IN_PROGRESS && !stored) {
                unstored.add(new FinalRolloutState(service, order.targetVersion(), state));
            }
        }
        return unstored;
    }

    /**
     * Returns whether the final state may replace the state of the service that the store holds at the revision: one
     * from before the end of the rollout, or from before the order was written again.
     */
    public boolean mayReplace(FinalRolloutState state, String storedTarget, RolloutState stored, long storedRevision) {
        boolean beforeOrder = sameEra(storedRevision, orderRevisions.get(state.service()))
                && storedRevision < orderRevisions.get(state.service());
        boolean beforeEnd = storedTarget.equals(state.targetVersion()) && stored == RolloutState.IN_PROGRESS;
        return beforeOrder || beforeEnd;
    }

    private static boolean sameEra(long oneRevision, long otherRevision) {
        return StoreRevision.sameEra(oneRevision, otherRevision);
    }

    private static boolean isFinalStateOf(RolloutOrder order, FinalState state) {
        return state.state() != RolloutState.IN_PROGRESS
                && state.target().equals(order.targetVersion())
                && state.revision() > order.revision();
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
        return Optional.ofNullable(finalStates.get(order.service()))
                .filter(state -> isFinalStateOf(order, state))
                .or(() -> Optional.ofNullable(earlierFinalStates.get(order.service()))
                        .filter(state -> isFinalStateOf(order, state)))
                .map(FinalState::state)
                .orElse(RolloutState.IN_PROGRESS);
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

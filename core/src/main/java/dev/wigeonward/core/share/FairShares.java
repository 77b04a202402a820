package dev.wigeonward.core.share;

import java.util.HashMap;
import java.util.Map;

import com.google.common.base.Preconditions;

/**
 * Accounting of weighted fair queueing by start times among workspaces. Each workspace has a tag: the engine time that
 * it has used divided by its weight. The waiting workspace with the lowest tag goes next. The virtual time is the tag
 * of a workspace that uses exactly its share. A workspace that begins to wait starts there at least, so that it earns
 * no credit while it is idle. Engine time is charged as estimated at the start of a request and corrected at its end. A
 * request that starts while no other waits uses what nobody asks for, and is not charged. Not thread-safe.
 */
public final class FairShares {
    /**
     * Most engine time that a workspace is charged in excess of its share, so that a workspace that has used much more
     * is not held back for long after that.
     */
    private static final double MAX_EXCESS_MILLIS = 30_000;

    private final Map<String, Account> accounts = new HashMap<>();
    private double virtualMillis;
    private double activeWeight;
    private int activeCount;
    private int waiting;

    private FairShares() {}

    /** Returns an accounting in which no workspace has used any engine time. */
    public static FairShares create() {
        return new FairShares();
    }

    /**
     * Records that a request of the workspace waits.
     *
     * @param weight share of the workspace relative to that of the others; replaces the one before
     */
    public void onWaiting(String workspace, double weight) {
        Preconditions.checkArgument(
                weight > 0 && Double.isFinite(weight),
                "weight of workspace %s is %s, expected a positive number",
                workspace,
                weight);
        Account account = accounts.get(workspace);
        if (account == null) {
            accounts.values().removeIf(this::isForgettable);
            account = new Account(virtualMillis);
            accounts.put(workspace, account);
        }
        if (account.waiting == 0) {
            account.tagMillis = Math.max(account.tagMillis, virtualMillis);
        }
        activeCount += account.isActive() ? 0 : 1;
        activeWeight += weight - (account.isActive() ? account.weight : 0);
        account.weight = weight;
        account.waiting++;
        waiting++;
    }

    /** Records that a waiting request of the workspace left the queue without a start. */
    public void onWithdrawn(String workspace) {
        Account account = waitingAccount(workspace);
        account.waiting--;
        waiting--;
        onMaybeIdle(workspace, account);
    }

    /** Records that a waiting request of the workspace has started, and charges its estimated engine time. */
    public Charge onStarted(String workspace, double estimatedMillis) {
        Account account = waitingAccount(workspace);
        account.waiting--;
        account.running++;
        waiting--;
        Charge charge = new Charge(workspace, estimatedMillis, waiting > 0);
        charge(account, charge, estimatedMillis);
        return charge;
    }

    private void charge(Account account, Charge charge, double millis) {
        virtualMillis += millis / activeWeight;
        if (charge.contended) {
            account.tagMillis = Math.min(
                    account.tagMillis + millis / account.weight, virtualMillis + MAX_EXCESS_MILLIS / account.weight);
        }
    }

    /** Corrects a charge at the end of the request by the engine time that it used. */
    public void onEnded(Charge charge, double usedMillis) {
        Account account = accounts.get(charge.workspace);
        Preconditions.checkState(
                account != null && account.running > 0, "workspace %s has no running request", charge.workspace);
        charge(account, charge, usedMillis - charge.estimatedMillis);
        account.running--;
        onMaybeIdle(charge.workspace, account);
    }

    private Account waitingAccount(String workspace) {
        Account account = accounts.get(workspace);
        Preconditions.checkState(
                account != null && account.waiting > 0, "workspace %s has no waiting request", workspace);
        return account;
    }

    private void onMaybeIdle(String workspace, Account account) {
        if (account.isActive()) {
            return;
        }
        activeCount--;
        // Starts from 0 again now and then, so that rounding errors do not add up.
        activeWeight = activeCount == 0 ? 0 : activeWeight - account.weight;
        if (isForgettable(account)) {
            accounts.remove(workspace);
        }
    }

    /** A workspace below the virtual time starts there anyway, so its account need not be kept. */
    private boolean isForgettable(Account account) {
        return !account.isActive() && account.tagMillis <= virtualMillis;
    }

    /** Returns the tag of a workspace; the waiting workspace with the lowest tag goes next. */
    public double tagMillis(String workspace) {
        Account account = accounts.get(workspace);
        if (account == null) {
            return virtualMillis;
        }
        return account.waiting > 0 ? account.tagMillis : Math.max(account.tagMillis, virtualMillis);
    }

    /** Returns the engine time that a workspace has used in excess of its share, in milliseconds; 0 if it has not. */
    public double excessMillis(String workspace) {
        Account account = accounts.get(workspace);
        return account == null ? 0 : Math.max(0, (account.tagMillis - virtualMillis) * account.weight);
    }

    /** Returns the number of workspaces with waiting or running requests, or that have used more than their share. */
    public int size() {
        return accounts.size();
    }

    /** Charge for a request that has started. */
    public static final class Charge {
        private final String workspace;
        private final double estimatedMillis;
        private final boolean contended;

        private Charge(String workspace, double estimatedMillis, boolean contended) {
            this.workspace = workspace;
            this.estimatedMillis = estimatedMillis;
            this.contended = contended;
        }
    }

    private static final class Account {
        private double tagMillis;
        private double weight;
        private int waiting;
        private int running;

        private Account(double tagMillis) {
            this.tagMillis = tagMillis;
        }

        private boolean isActive() {
            return waiting + running > 0;
        }
    }
}

package dev.wigeonward.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Queue of the requests of one tier under start-time fair queueing. The virtual time is the start tag of the last
 * request removed for service. A workspace that becomes active starts at the virtual time, so it neither accumulates
 * credit for an unused share nor is charged for it. Each operation takes time logarithmic in the number of workspaces
 * and of the requests of the workspace.
 */
final class TierBacklog {
    private final WorkspaceWeights weights;
    private final Map<String, WorkspaceFlow> flows = new HashMap<>();
    private final TreeSet<WorkspaceFlow> byStart = new TreeSet<>(WorkspaceFlow.BY_START);
    private final TreeSet<WorkspaceFlow> withShortByStart = new TreeSet<>(WorkspaceFlow.BY_START);
    private final TreeSet<WorkspaceFlow> byLastStart = new TreeSet<>(WorkspaceFlow.BY_LAST_START);
    /** Flows without requests, kept while the virtual end of their last request is later than the virtual time. */
    private final TreeSet<WorkspaceFlow> idleByStart = new TreeSet<>(WorkspaceFlow.BY_START);

    private long virtualTime;
    private long backlogMillis;

    private TierBacklog(WorkspaceWeights weights) {
        this.weights = weights;
    }

    static TierBacklog create(WorkspaceWeights weights) {
        return new TierBacklog(weights);
    }

    void add(QueuedRequest item) {
        WorkspaceFlow flow = detach(item);
        if (flow.isEmpty()) {
            flow.startNoEarlierThan(virtualTime);
        }
        flow.add(item);
        backlogMillis += item.serviceMillis();
        attach(flow);
    }

    /** Adds a request that was removed for service before, and refunds the charge to its workspace. */
    void putBack(QueuedRequest item) {
        // A flow is removed once the virtual time has passed its charge, so there is nothing left to refund.
        boolean charged = flows.containsKey(item.request().workspace());
        WorkspaceFlow flow = detach(item);
        if (charged) {
            flow.advance(-cost(flow, item));
        }
        flow.add(item);
        backlogMillis += item.serviceMillis();
        attach(flow);
    }

    /** Returns the next request in fair order, or empty if there is none. */
    Optional<QueuedRequest> first() {
        return byStart.isEmpty()
                ? Optional.empty()
                : Optional.of(byStart.first().oldest());
    }

    /** Returns the next short request in fair order, or empty if there is none. */
    Optional<QueuedRequest> firstShort() {
        return withShortByStart.isEmpty()
                ? Optional.empty()
                : Optional.of(withShortByStart.first().oldestShort());
    }

    /** Removes a request that is about to be served, and charges its workspace. */
    void removeForService(QueuedRequest item) {
        WorkspaceFlow flow = detach(item);
        virtualTime = Math.max(virtualTime, flow.startTag());
        flow.remove(item);
        backlogMillis -= item.serviceMillis();
        flow.advance(cost(flow, item));
        attach(flow);
        removeIdleFlows();
    }

    /** Removes a request that will not be served, without a charge. */
    void remove(QueuedRequest item) {
        WorkspaceFlow flow = detach(item);
        flow.remove(item);
        backlogMillis -= item.serviceMillis();
        attach(flow);
    }

    /** Returns the newest request of the workspace that exceeds its share the most, or empty if there is none. */
    Optional<QueuedRequest> last() {
        return byLastStart.isEmpty()
                ? Optional.empty()
                : Optional.of(byLastStart.last().newest());
    }

    /** Returns {@link #last} if it would follow a new request of the given workspace in fair order. */
    Optional<QueuedRequest> lastAfter(String workspace) {
        if (byLastStart.isEmpty() || byLastStart.last().workspace().equals(workspace)) {
            return Optional.empty();
        }
        WorkspaceFlow flow = flows.get(workspace);
        long startTag = flow == null ? virtualTime : flow.startOfNext(virtualTime, weights.weight(workspace));
        WorkspaceFlow last = byLastStart.last();
        return last.lastStartTag() > startTag ? Optional.of(last.newest()) : Optional.empty();
    }

    long backlogMillis() {
        return backlogMillis;
    }

    private WorkspaceFlow detach(QueuedRequest item) {
        WorkspaceFlow flow = flows.computeIfAbsent(
                item.request().workspace(), workspace -> WorkspaceFlow.startingAt(workspace, virtualTime));
        byStart.remove(flow);
        withShortByStart.remove(flow);
        byLastStart.remove(flow);
        idleByStart.remove(flow);
        return flow;
    }

    private void attach(WorkspaceFlow flow) {
        if (flow.isEmpty()) {
            idleByStart.add(flow);
            return;
        }
        flow.updateLastStart(weights.weight(flow.workspace()));
        byStart.add(flow);
        byLastStart.add(flow);
        if (flow.hasShort()) {
            withShortByStart.add(flow);
        }
    }

    private void removeIdleFlows() {
        while (!idleByStart.isEmpty() && idleByStart.first().startTag() <= virtualTime) {
            flows.remove(idleByStart.pollFirst().workspace());
        }
    }

    private long cost(WorkspaceFlow flow, QueuedRequest item) {
        return WorkspaceFlow.cost(item.serviceMillis(), weights.weight(flow.workspace()));
    }
}

package dev.wigeonward.core.admission;

import java.util.Comparator;
import java.util.TreeMap;

/** Queue of the requests of one workspace within a tier, with its position in virtual time. */
final class WorkspaceFlow {
    /** Orders flows by the virtual start time of their oldest request. */
    static final Comparator<WorkspaceFlow> BY_START =
            Comparator.<WorkspaceFlow>comparingLong(flow -> flow.startTag).thenComparing(flow -> flow.workspace);

    /** Orders flows by the virtual start time of their newest request. */
    static final Comparator<WorkspaceFlow> BY_LAST_START =
            Comparator.<WorkspaceFlow>comparingLong(flow -> flow.lastStartTag).thenComparing(flow -> flow.workspace);

    /** Virtual time units per millisecond of work at weight 1; precise enough for weights up to 1,000. */
    private static final long UNITS_PER_MILLI = 1_000;

    private final String workspace;
    private final TreeMap<Long, QueuedRequest> queued = new TreeMap<>();
    private final TreeMap<Long, QueuedRequest> shortRequests = new TreeMap<>();
    private long startTag;
    private long lastStartTag;
    private long queuedMillis;

    private WorkspaceFlow(String workspace, long startTag) {
        this.workspace = workspace;
        this.startTag = startTag;
    }

    /** Returns a flow without requests that starts at the given virtual time. */
    static WorkspaceFlow startingAt(String workspace, long startTag) {
        return new WorkspaceFlow(workspace, startTag);
    }

    /** Returns the virtual time that the work takes at the given weight; at least 1. */
    static long cost(long workMillis, int weight) {
        return Math.max(1, workMillis * UNITS_PER_MILLI / Math.max(1, weight));
    }

    void add(QueuedRequest item) {
        queued.put(item.sequence(), item);
        if (item.isShort()) {
            shortRequests.put(item.sequence(), item);
        }
        queuedMillis += item.serviceMillis();
    }

    void remove(QueuedRequest item) {
        queued.remove(item.sequence());
        shortRequests.remove(item.sequence());
        queuedMillis -= item.serviceMillis();
    }

    /** Moves the start tag by the given virtual time, which is negative for a refund. */
    void advance(long virtualDuration) {
        startTag += virtualDuration;
    }

    /** Raises the start tag to the virtual time if it is lower. */
    void startNoEarlierThan(long virtualTime) {
        startTag = Math.max(startTag, virtualTime);
    }

    /** Recomputes the virtual start time of the newest request with the current weight. */
    void updateLastStart(int weight) {
        lastStartTag = startTag + cost(queuedMillis - newest().serviceMillis(), weight);
    }

    /** Returns the virtual start time that a request would get if it were added now. */
    long startOfNext(long virtualTime, int weight) {
        return isEmpty() ? Math.max(startTag, virtualTime) : startTag + cost(queuedMillis, weight);
    }

    QueuedRequest oldest() {
        return queued.firstEntry().getValue();
    }

    QueuedRequest oldestShort() {
        return shortRequests.firstEntry().getValue();
    }

    QueuedRequest newest() {
        return queued.lastEntry().getValue();
    }

    boolean isEmpty() {
        return queued.isEmpty();
    }

    boolean hasShort() {
        return !shortRequests.isEmpty();
    }

    String workspace() {
        return workspace;
    }

    long startTag() {
        return startTag;
    }

    long lastStartTag() {
        return lastStartTag;
    }
}

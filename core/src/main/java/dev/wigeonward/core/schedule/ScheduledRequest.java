package dev.wigeonward.core.schedule;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.rollout.VersionConstraint;

/**
 * A request that waits for an upstream or runs on one. Its mutable state belongs to the scheduler that it was offered
 * to. Not thread-safe.
 */
public final class ScheduledRequest {
    private final String kind;
    private final int rank;
    private final long objectiveMillis;
    private final long maxPauseMillis;
    private final boolean streaming;
    private final int promptTokens;
    private final long arrivedAtMillis;
    private final long earlierAttemptsMillis;
    private final long deadlineAtMillis;
    private final double expectedOutputTokens;
    private final VersionConstraint versions;
    private final List<PromptPrefix> prefixes;
    private final List<Long> sharedParts;
    private final long spreadKey;
    private final Optional<String> senderZone;
    private final String workspace;
    private final double weight;
    private Set<String> refusedVersions = Set.of();
    private final Set<String> excludedUpstreamIds = new HashSet<>();
    private Optional<String> onlyUpstreamId = Optional.empty();
    private long queueSequence;
    private Optional<UpstreamLoad> placedOn = Optional.empty();
    private long placedAtMillis;
    private long promptTokensAhead;
    private int promptTokensToRead;
    private boolean firstEventReceived;
    private boolean outputSuspended;
    private double expectedEvents;
    private double relativeSlownessAtPlacement;
    private double typicalResponseMillis;

    private ScheduledRequest(Builder builder) {
        kind = builder.kind;
        rank = builder.rank;
        objectiveMillis = builder.objectiveMillis;
        maxPauseMillis = builder.maxPauseMillis;
        streaming = builder.streaming;
        promptTokens = builder.promptTokens;
        arrivedAtMillis = builder.arrivedAtMillis;
        earlierAttemptsMillis = builder.earlierAttemptsMillis;
        deadlineAtMillis = builder.deadlineAtMillis;
        expectedOutputTokens = builder.expectedOutputTokens;
        versions = builder.versions;
        prefixes = List.copyOf(builder.prefixes);
        sharedParts = List.copyOf(builder.sharedParts);
        spreadKey = builder.spreadKey;
        workspace = builder.workspace;
        weight = builder.weight;
        promptTokensToRead = builder.promptTokens;
        senderZone = builder.senderZone;
    }

    /**
     * Returns a builder for a request.
     *
     * @param kind class of the request; requests of one kind are served in order of arrival, and kinds compete by rank
     * @param rank priority of the kind; lower values are served first, and 0 is the most urgent
     * @param objectiveMillis target time for the response, measured from arrival, in milliseconds
     */
    public static Builder builder(String kind, int rank, long objectiveMillis, long arrivedAtMillis) {
        return new Builder(kind, rank, objectiveMillis, arrivedAtMillis);
    }

    /** Returns a request of a peer that this entry places, as coordinator, and that the peer sends. */
    public static ScheduledRequest ofPeer(RequestDescription description, long nowMillis) {
        Builder builder = builder(
                        description.kind(),
                        description.rank(),
                        description.objectiveMillis(),
                        nowMillis - description.ageMillis())
                .elapsedInEarlierAttempts(description.earlierAttemptsMillis())
                .deadlineAt(nowMillis + description.deadlineLeftMillis())
                .prefixes(description.prefixes())
                .sharedParts(description.sharedParts())
                .spreadKey(description.spreadKey())
                .workspace(description.workspace(), description.weight())
                .versions(description.versions());
        if (description.streaming()) {
            builder.streaming(
                    description.promptTokens(), description.expectedOutputTokens(), description.maxPauseMillis());
        }
        builder.senderZone = Optional.of(description.zone());
        ScheduledRequest request = builder.build();
        request.excludedUpstreamIds.addAll(description.excludedUpstreamIds());
        request.onlyUpstreamId = description.onlyUpstreamId();
        return request;
    }

    /**
     * Returns the description with which a coordinator places this request.
     *
     * @param zone failure domain from which the request is sent
     */
    public RequestDescription describe(String zone, long nowMillis) {
        return new RequestDescription(
                kind,
                rank,
                workspace,
                weight,
                objectiveMillis,
                Math.max(0, ageMillis(nowMillis)),
                earlierAttemptsMillis,
                Math.min(RequestDescription.MAX_DEADLINE_LEFT_MILLIS, Math.max(0, deadlineAtMillis - nowMillis)),
                maxPauseMillis,
                streaming,
                promptTokens,
                expectedOutputTokens,
                prefixes,
                sharedParts,
                spreadKey,
                excludedUpstreamIds,
                onlyUpstreamId,
                versions,
                zone);
    }

    /** Returns whether a peer sends the request, and this entry has only placed it. */
    boolean isOfPeer() {
        return senderZone.isPresent();
    }

    /** Returns the failure domain of the peer that sends the request, or empty if this entry does. */
    public Optional<String> senderZone() {
        return senderZone;
    }

    /** Returns the prompt tokens that the upstream has yet to read, as far as known. */
    public long pendingPromptTokens() {
        return firstEventReceived ? 0 : promptTokensToRead;
    }

    /** Excludes an upstream on which the request failed from further placements of the request. */
    public void excludeUpstream(String upstreamId) {
        excludedUpstreamIds.add(upstreamId);
    }

    /** Restricts further placements of the request to one upstream. */
    public void restrictToUpstream(String upstreamId) {
        onlyUpstreamId = Optional.of(upstreamId);
    }

    /** Returns whether further placements are restricted to one upstream. */
    boolean isRestricted() {
        return onlyUpstreamId.isPresent();
    }

    boolean isExcluded(String upstreamId) {
        return excludedUpstreamIds.contains(upstreamId)
                || onlyUpstreamId.isPresent() && !onlyUpstreamId.get().equals(upstreamId);
    }

    /** Returns the upstream of the most recent placement, or empty before the first placement. */
    public Optional<Upstream> upstream() {
        return placedOn.map(UpstreamLoad::upstream);
    }

    /** Returns the time since the request arrived at this entry, in milliseconds. */
    public long ageMillis(long nowMillis) {
        return nowMillis - arrivedAtMillis;
    }

    /** Returns the kind, which determines the queue of the request. */
    public String kind() {
        return kind;
    }

    /** Returns the response time objective, in milliseconds; a later answer has less value. */
    public long objectiveMillis() {
        return objectiveMillis;
    }

    /** Returns the time at which the request arrived at this entry. */
    public long arrivedAtMillis() {
        return arrivedAtMillis;
    }

    /** Returns the number by which requests that arrived in the same millisecond are ordered in their queue. */
    public long queueSequence() {
        return queueSequence;
    }

    void setQueueSequence(long sequence) {
        queueSequence = sequence;
    }

    /** Returns the priority of the kind; lower values are served first. */
    public int rank() {
        return rank;
    }

    /** Returns whether the caller comes back after a refusal. */
    public boolean isReturned() {
        return earlierAttemptsMillis > 0;
    }

    /** Returns whether the objective has passed, including the time of earlier attempts of the caller. */
    public boolean isPastObjective(long nowMillis) {
        return earlierAttemptsMillis + ageMillis(nowMillis) > objectiveMillis;
    }

    /** Returns the time until the objective passes, negative if it has passed. */
    public long remainingObjectiveMillis(long nowMillis) {
        return objectiveMillis - earlierAttemptsMillis - ageMillis(nowMillis);
    }

    /** Returns the time after which a complete answer is of no use. */
    public long deadlineAtMillis() {
        return deadlineAtMillis;
    }

    /** Returns the estimated number of output tokens, or 0 if there is no estimate. */
    public double expectedOutputTokens() {
        return expectedOutputTokens;
    }

    /** Returns the expected number of events in the answer, as of the last placement attempt. */
    public double expectedEvents() {
        return expectedEvents;
    }

    /**
     * Returns the estimated slowness of the chosen upstream relative to a typical one, or 0 before the first placement.
     */
    public double relativeSlownessAtPlacement() {
        return relativeSlownessAtPlacement;
    }

    void setExpectedEvents(double events) {
        expectedEvents = events;
    }

    /** Returns the longest acceptable pause between two events, or 0 for no limit. */
    public long maxPauseMillis() {
        return maxPauseMillis;
    }

    /** Returns whether the answer is a generated stream. */
    public boolean isStreaming() {
        return streaming;
    }

    /** Returns the number of prompt tokens. */
    public int promptTokens() {
        return promptTokens;
    }

    /** Returns the prompt tokens that the upstream of the last placement does not keep, as far as known. */
    int promptTokensToRead() {
        return promptTokensToRead;
    }

    /** Returns the prompt tokens that the upstream of the last placement keeps, as far as known. */
    public int keptPromptTokens() {
        return promptTokens - promptTokensToRead;
    }

    List<PromptPrefix> prefixes() {
        return prefixes;
    }

    List<Long> sharedParts() {
        return sharedParts;
    }

    /** Sets the versions of upstreams that must not run the request. */
    void setRefusedVersions(Set<String> versions) {
        refusedVersions = versions;
    }

    boolean isRefusedBy(String version) {
        return refusedVersions.contains(version);
    }

    /** Returns a key by which requests that see equal upstreams choose different ones. */
    public long spreadKey() {
        return spreadKey;
    }

    /** Returns the workspace of the caller, or an empty name if it has none. */
    public String workspace() {
        return workspace;
    }

    /** Returns the share of the workspace relative to that of the others. */
    public double weight() {
        return weight;
    }

    Optional<UpstreamLoad> placedOn() {
        return placedOn;
    }

    /** Returns the time of the last placement. */
    public long placedAtMillis() {
        return placedAtMillis;
    }

    long promptTokensAhead() {
        return promptTokensAhead;
    }

    boolean firstEventReceived() {
        return firstEventReceived;
    }

    /**
     * Returns the time in which a typical upstream would send the first event or answer the call, in milliseconds, or 0
     * before the first placement.
     */
    public double typicalResponseMillis() {
        return typicalResponseMillis;
    }

    /** Returns the constraint on the versions that may serve the request. */
    VersionConstraint versions() {
        return versions;
    }

    void recordPlacement(UpstreamLoad load, int tokensToRead, double slowness, double typicalMillis, long nowMillis) {
        placedOn = Optional.of(load);
        placedAtMillis = nowMillis;
        promptTokensAhead = load.pendingPromptTokens();
        promptTokensToRead = tokensToRead;
        relativeSlownessAtPlacement = slowness;
        typicalResponseMillis = typicalMillis;
        firstEventReceived = false;
    }

    /** Sets whether output is not read at present because the caller does not read it. */
    public void setOutputSuspended(boolean suspended) {
        outputSuspended = suspended;
    }

    /** Returns whether missing output says nothing about the upstream. */
    boolean outputSuspended() {
        return outputSuspended;
    }

    void markFirstEventReceived() {
        firstEventReceived = true;
    }

    /** Builder of {@link ScheduledRequest} instances. */
    public static final class Builder {
        private final String kind;
        private final int rank;
        private final long objectiveMillis;
        private final long arrivedAtMillis;
        private long maxPauseMillis;
        private boolean streaming;
        private int promptTokens;
        private long earlierAttemptsMillis;
        private long deadlineAtMillis = Long.MAX_VALUE;
        private double expectedOutputTokens;
        private VersionConstraint versions = VersionConstraint.NONE;
        private List<PromptPrefix> prefixes = List.of();
        private List<Long> sharedParts = List.of();
        private long spreadKey;
        private Optional<String> senderZone = Optional.empty();
        private String workspace = "";
        private double weight = 1;

        private Builder(String kind, int rank, long objectiveMillis, long arrivedAtMillis) {
            this.kind = kind;
            this.rank = rank;
            this.objectiveMillis = objectiveMillis;
            this.arrivedAtMillis = arrivedAtMillis;
        }

        /**
         * Marks the request as one whose answer is a generated stream.
         *
         * @param tokens number of prompt tokens
         * @param expectedOutput estimated number of output tokens, or 0 if there is no estimate
         * @param longestPauseMillis longest acceptable pause between two events, in milliseconds; 0 for no limit
         */
        public Builder streaming(int tokens, double expectedOutput, long longestPauseMillis) {
            streaming = true;
            promptTokens = tokens;
            expectedOutputTokens = expectedOutput;
            maxPauseMillis = longestPauseMillis;
            return this;
        }

        /** Sets the prefixes of the prompt that upstreams may keep, the shortest first. */
        public Builder prefixes(List<PromptPrefix> promptPrefixes) {
            prefixes = promptPrefixes;
            return this;
        }

        /** Sets the identifiers of the parts of the prompt that other requests may contain. */
        public Builder sharedParts(List<Long> parts) {
            sharedParts = parts;
            return this;
        }

        /**
         * Sets a key by which requests that see equal upstreams choose different ones; requests with equal keys choose
         * the same.
         */
        public Builder spreadKey(long key) {
            spreadKey = key;
            return this;
        }

        /**
         * Sets the workspace of the caller and its share relative to that of the others.
         *
         * @param shareWeight positive number
         */
        public Builder workspace(String name, double shareWeight) {
            Preconditions.checkArgument(
                    shareWeight > 0 && Double.isFinite(shareWeight),
                    "weight of workspace %s is %s, expected a positive number",
                    name,
                    shareWeight);
            workspace = name;
            weight = shareWeight;
            return this;
        }

        /** Sets the time that the caller spent waiting in earlier attempts, which counts against the objective. */
        public Builder elapsedInEarlierAttempts(long millis) {
            earlierAttemptsMillis = millis;
            return this;
        }

        /** Sets the constraint on the versions that may serve the request. */
        public Builder versions(VersionConstraint constraint) {
            versions = constraint;
            return this;
        }

        /** Sets the time after which a complete answer is of no use. */
        public Builder deadlineAt(long millis) {
            deadlineAtMillis = millis;
            return this;
        }

        /** Returns a new request with the collected properties. */
        public ScheduledRequest build() {
            return new ScheduledRequest(this);
        }
    }
}

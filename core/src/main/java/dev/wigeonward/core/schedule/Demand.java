package dev.wigeonward.core.schedule;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import dev.wigeonward.core.rollout.VersionBound;

/**
 * One request that waits for an upstream or runs on one. The scheduler that it was offered to owns the mutable part.
 * Not thread-safe.
 */
public final class Demand {
    private final String kind;
    private final int rank;
    private final long objectiveMillis;
    private final long maxPauseMillis;
    private final boolean generates;
    private final int promptTokens;
    private final long arrivedAtMillis;
    private final long elapsedBeforeMillis;
    private final long deadlineAtMillis;
    private final double expectedOutputTokens;
    private final VersionBound versions;
    private final Set<String> avoided = new HashSet<>();
    private Optional<UpstreamLoad> placedOn = Optional.empty();
    private long placedAtMillis;
    private long promptTokensAhead;
    private boolean answering;
    private double expectedEvents;
    private double slownessWhenPlaced;
    private double usualMillis;

    private Demand(Builder builder) {
        kind = builder.kind;
        rank = builder.rank;
        objectiveMillis = builder.objectiveMillis;
        maxPauseMillis = builder.maxPauseMillis;
        generates = builder.generates;
        promptTokens = builder.promptTokens;
        arrivedAtMillis = builder.arrivedAtMillis;
        elapsedBeforeMillis = builder.elapsedBeforeMillis;
        deadlineAtMillis = builder.deadlineAtMillis;
        expectedOutputTokens = builder.expectedOutputTokens;
        versions = builder.versions;
    }

    /**
     * Returns a builder of a demand.
     *
     * @param kind requests of one kind are served in order of arrival and compared with other kinds
     * @param rank 0 is the most urgent
     */
    public static Builder builder(String kind, int rank, long objectiveMillis, long arrivedAtMillis) {
        return new Builder(kind, rank, objectiveMillis, arrivedAtMillis);
    }

    /** Keeps the request away from an upstream that has failed it. */
    public void avoid(String upstreamId) {
        avoided.add(upstreamId);
    }

    boolean avoids(String upstreamId) {
        return avoided.contains(upstreamId);
    }

    /** Returns the upstream on which the request was placed last, or empty while it waits for its first one. */
    public Optional<Upstream> upstream() {
        return placedOn.map(UpstreamLoad::upstream);
    }

    /** Returns the time since the request came to this entry. */
    public long ageMillis(long nowMillis) {
        return nowMillis - arrivedAtMillis;
    }

    /** Returns the kind of request. */
    public String kind() {
        return kind;
    }

    /** Returns the time within which the answer is worth most. */
    public long objectiveMillis() {
        return objectiveMillis;
    }

    int rank() {
        return rank;
    }

    boolean late(long nowMillis) {
        return elapsedBeforeMillis + ageMillis(nowMillis) > objectiveMillis;
    }

    long remainingObjectiveMillis(long nowMillis) {
        return objectiveMillis - elapsedBeforeMillis - ageMillis(nowMillis);
    }

    long deadlineAtMillis() {
        return deadlineAtMillis;
    }

    double expectedOutputTokens() {
        return expectedOutputTokens;
    }

    /** Returns how many events the answer was expected to have when the request was last considered. */
    public double expectedEvents() {
        return expectedEvents;
    }

    /** Returns how many times as long as a usual upstream the chosen one was believed to take; 0 before a choice. */
    public double slownessWhenPlaced() {
        return slownessWhenPlaced;
    }

    void expectEvents(double events) {
        expectedEvents = events;
    }

    long maxPauseMillis() {
        return maxPauseMillis;
    }

    boolean generates() {
        return generates;
    }

    int promptTokens() {
        return promptTokens;
    }

    Optional<UpstreamLoad> placedOn() {
        return placedOn;
    }

    long placedAtMillis() {
        return placedAtMillis;
    }

    long promptTokensAhead() {
        return promptTokensAhead;
    }

    boolean answering() {
        return answering;
    }

    /** Returns the time in which a usual upstream would send the first event or answer the call; 0 before a choice. */
    public double usualMillis() {
        return usualMillis;
    }

    /** Returns which versions may serve the request. */
    VersionBound versions() {
        return versions;
    }

    void placeOn(UpstreamLoad load, double slowness, double usual, long nowMillis) {
        placedOn = Optional.of(load);
        placedAtMillis = nowMillis;
        promptTokensAhead = load.unreadPromptTokens();
        slownessWhenPlaced = slowness;
        usualMillis = usual;
        answering = false;
    }

    void startAnswering() {
        answering = true;
    }

    /** Collects the parts of a demand. */
    public static final class Builder {
        private final String kind;
        private final int rank;
        private final long objectiveMillis;
        private final long arrivedAtMillis;
        private long maxPauseMillis;
        private boolean generates;
        private int promptTokens;
        private long elapsedBeforeMillis;
        private long deadlineAtMillis = Long.MAX_VALUE;
        private double expectedOutputTokens;
        private VersionBound versions = VersionBound.NONE;

        private Builder(String kind, int rank, long objectiveMillis, long arrivedAtMillis) {
            this.kind = kind;
            this.rank = rank;
            this.objectiveMillis = objectiveMillis;
            this.arrivedAtMillis = arrivedAtMillis;
        }

        /**
         * Makes the demand one for a generated stream.
         *
         * @param expectedOutput estimate of the output tokens, 0 if there is none
         */
        public Builder generating(int tokens, double expectedOutput, long longestPauseMillis) {
            generates = true;
            promptTokens = tokens;
            expectedOutputTokens = expectedOutput;
            maxPauseMillis = longestPauseMillis;
            return this;
        }

        /** States how long the caller had waited in earlier attempts. */
        public Builder elapsedBefore(long millis) {
            elapsedBeforeMillis = millis;
            return this;
        }

        /** States which versions may serve the request. */
        public Builder versions(VersionBound bound) {
            versions = bound;
            return this;
        }

        /** States when a complete answer is of use at the latest. */
        public Builder deadlineAt(long millis) {
            deadlineAtMillis = millis;
            return this;
        }

        /** Returns the demand. */
        public Demand build() {
            return new Demand(this);
        }
    }
}

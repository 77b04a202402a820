package dev.wigeonward.core.schedule;

import java.util.LinkedHashSet;
import java.util.Set;

/** What this entry knows of one upstream: its own requests there, what peers report, speed and failures. */
final class UpstreamLoad {
    /** Share of a new observation in the learned slowness; a five-fold slowdown is followed within five answers. */
    private static final double LEARNING_SHARE = 0.3;
    /** Largest factor by which one observation differs from the belief; bounds the effect of one odd answer. */
    private static final double LARGEST_STEP = 3.0;

    private static final double LEAST_SLOWNESS = 0.05;
    private static final double MOST_SLOWNESS = 50.0;
    /** First and longest time without new requests after failures, in milliseconds. */
    private static final long FIRST_PAUSE_MILLIS = 250;

    private static final long LONGEST_PAUSE_MILLIS = 2_000;
    /** Share of one outcome in the learned failure ratio. */
    private static final double FAILURE_SHARE = 0.1;

    private Upstream upstream;
    private final Set<Demand> running = new LinkedHashSet<>();
    private int peerRunning;
    private long peerPromptTokens;
    private double slowness = 1.0;
    private double failureRatio;
    private int consecutiveFailures;
    private long pausedUntilMillis = Long.MIN_VALUE;
    private long lastOutputAtMillis = Long.MIN_VALUE;

    UpstreamLoad(Upstream upstream) {
        this.upstream = upstream;
    }

    Upstream upstream() {
        return upstream;
    }

    void describe(Upstream newDescription) {
        upstream = newDescription;
    }

    void add(Demand demand) {
        running.add(demand);
    }

    boolean remove(Demand demand) {
        return running.remove(demand);
    }

    Set<Demand> running() {
        return running;
    }

    void reportPeers(int requests, long promptTokens) {
        peerRunning = requests;
        peerPromptTokens = promptTokens;
    }

    int outstanding() {
        return running.size() + peerRunning;
    }

    long unreadPromptTokens() {
        return ownUnreadPromptTokens() + peerPromptTokens;
    }

    long ownUnreadPromptTokens() {
        long tokens = 0;
        for (Demand demand : running) {
            tokens += demand.answering() ? 0 : demand.promptTokens();
        }
        return tokens;
    }

    double slowness() {
        return slowness;
    }

    void learnSlowness(double observedOverExpected) {
        double step = Math.max(1 / LARGEST_STEP, Math.min(LARGEST_STEP, observedOverExpected));
        scaleSlowness(Math.exp(LEARNING_SHARE * Math.log(step)));
    }

    void scaleSlowness(double factor) {
        slowness = Math.max(LEAST_SLOWNESS, Math.min(MOST_SLOWNESS, slowness * factor));
    }

    double failureRatio() {
        return failureRatio;
    }

    void onSuccess() {
        consecutiveFailures = 0;
        failureRatio *= 1 - FAILURE_SHARE;
    }

    void onFailure() {
        failureRatio += FAILURE_SHARE * (1 - failureRatio);
    }

    void onOutput(long nowMillis) {
        lastOutputAtMillis = nowMillis;
    }

    long lastOutputAtMillis() {
        return lastOutputAtMillis;
    }

    void pause(long nowMillis) {
        consecutiveFailures++;
        long pause = Math.min(LONGEST_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(consecutiveFailures - 1, 10));
        pausedUntilMillis = Math.max(pausedUntilMillis, nowMillis + pause);
    }

    void pauseBriefly(long millis, long nowMillis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, nowMillis + millis);
    }

    boolean paused(long nowMillis) {
        return nowMillis < pausedUntilMillis;
    }

    long pausedUntilMillis() {
        return pausedUntilMillis;
    }
}

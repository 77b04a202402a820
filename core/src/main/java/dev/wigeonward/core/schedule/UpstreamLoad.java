package dev.wigeonward.core.schedule;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/** What this entry knows of one upstream: its own requests there, what peers report, speed and failures. */
final class UpstreamLoad {
    /** Share of a new observation in the learned time; a five-fold slowdown is followed within five observations. */
    private static final double LEARNING_SHARE = 0.25;
    /** Largest factor by which one observation differs from the belief; bounds the effect of one odd answer. */
    private static final double LARGEST_STEP = 4.0;

    /** Change of a learned time that is worth telling to other entries. */
    private static final double TOLD_CHANGE = 0.15;

    /** Share of one outcome in the learned failure ratio. */
    private static final double FAILURE_SHARE = 0.1;

    private Upstream upstream;
    private final Set<Demand> running = new LinkedHashSet<>();
    private int peerRunning;
    private long peerPromptTokens;
    private OptionalDouble unitMillis = OptionalDouble.empty();
    private OptionalDouble toldUnitMillis = OptionalDouble.empty();
    private long unitLearnedAtMillis = Long.MIN_VALUE;
    private double failureRatio;
    private boolean suspended;
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

    /** Returns the learned time of a unit of work here: of an event, or of a plain call; empty before the first one. */
    OptionalDouble unitMillis() {
        return unitMillis;
    }

    void learnUnit(double observedMillis, long nowMillis) {
        unitLearnedAtMillis = nowMillis;
        if (unitMillis.isEmpty()) {
            unitMillis = OptionalDouble.of(observedMillis);
            return;
        }
        double known = unitMillis.getAsDouble();
        double bounded = Math.max(known / LARGEST_STEP, Math.min(known * LARGEST_STEP, observedMillis));
        unitMillis = OptionalDouble.of(known + LEARNING_SHARE * (bounded - known));
    }

    /** Takes over what another entry learned, unless this one has learned since. */
    void adoptUnit(double learnedMillis, long learnedAtMillis) {
        if (learnedAtMillis > unitLearnedAtMillis) {
            unitLearnedAtMillis = learnedAtMillis;
            unitMillis = OptionalDouble.of(learnedMillis);
            toldUnitMillis = unitMillis;
        }
    }

    /** Returns the learned time of a unit if it is known. */
    Optional<LearnedUnit> learned(long nowMillis) {
        return unitMillis.isEmpty()
                ? Optional.empty()
                : Optional.of(new LearnedUnit(
                        upstream.lifetime(), unitMillis.getAsDouble(), nowMillis - unitLearnedAtMillis));
    }

    /** Returns the learned time of a unit if it differs from what was last told; it then counts as told. */
    Optional<LearnedUnit> learnedSinceTold(long nowMillis) {
        boolean told = toldUnitMillis.isPresent()
                && unitMillis.isPresent()
                && Math.abs(unitMillis.getAsDouble() - toldUnitMillis.getAsDouble())
                        <= TOLD_CHANGE * toldUnitMillis.getAsDouble();
        if (told) {
            return Optional.empty();
        }
        toldUnitMillis = unitMillis;
        return learned(nowMillis);
    }

    double failureRatio() {
        return failureRatio;
    }

    void onSuccess() {
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

    /** Takes the upstream out until it is known to accept connections again. */
    void suspend() {
        suspended = true;
    }

    void resume() {
        suspended = false;
    }

    boolean suspended() {
        return suspended;
    }

    /** Returns a line for a dump. */
    String line(double slowness, long nowMillis) {
        return "%s %s zone=%s version=%s running=%d outstanding=%d slots=%d slowness=%.2f%s failures=%.2f%s"
                .formatted(
                        upstream.id(),
                        upstream.address(),
                        upstream.zone(),
                        upstream.version(),
                        running.size(),
                        outstanding(),
                        upstream.slots(),
                        slowness,
                        learned(nowMillis)
                                .map(unit -> " unit_ms=%.1f learned_ms_ago=%d"
                                        .formatted(unit.unitMillis(), unit.ageMillis()))
                                .orElse(""),
                        failureRatio,
                        upstream.draining() ? " draining" : paused(nowMillis) ? " paused" : "");
    }

    void pauseBriefly(long millis, long nowMillis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, nowMillis + millis);
    }

    boolean paused(long nowMillis) {
        return suspended || nowMillis < pausedUntilMillis;
    }
}

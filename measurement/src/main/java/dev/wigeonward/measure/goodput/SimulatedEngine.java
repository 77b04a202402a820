package dev.wigeonward.measure.goodput;

import java.util.HashMap;
import java.util.Map;

import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.request.RequestId;

/**
 * A simulated engine with continuous batching: each slot prefills and decodes one request at the engine's speed. The
 * engine starts every request at once and has no queue and no priorities.
 */
final class SimulatedEngine {
    private static final int MILLIS_PER_SECOND = 1_000;

    private final UpstreamDescription description;
    private final long slowFromMillis;
    private final double slowFactor;
    private final EventLoop loop;
    private final Map<RequestId, Run> runs = new HashMap<>();

    /** Creates an engine that takes {@code slowFactor} times as long as announced from {@code slowFromMillis} on. */
    SimulatedEngine(UpstreamDescription description, long slowFromMillis, double slowFactor, EventLoop loop) {
        this.description = description;
        this.slowFromMillis = slowFromMillis;
        this.slowFactor = slowFactor;
        this.loop = loop;
    }

    UpstreamDescription description() {
        return description;
    }

    /** Starts a request in a free slot; {@code onFinished} runs at its end unless it is cancelled before. */
    void start(Job job, Runnable onFinished) {
        if (runs.size() >= description.slots()) {
            throw new IllegalStateException(
                    "engine " + description.upstreamId() + " has no free slot among its " + description.slots());
        }
        long startMillis = loop.nowMillis();
        int promptTokens = job.request().work().promptTokens();
        double prefillMillis =
                (double) promptTokens * MILLIS_PER_SECOND / description.speed().prefillTokensPerSecond();
        double decodeMillis = (double) job.outputTokens()
                * MILLIS_PER_SECOND
                / description.speed().decodeTokensPerSecond();
        long prefillEndMillis = endMillis(startMillis, prefillMillis);
        Run run = new Run(startMillis, prefillEndMillis, promptTokens);
        runs.put(job.request().id(), run);
        loop.at(endMillis(startMillis, prefillMillis + decodeMillis), () -> {
            if (runs.get(job.request().id()) == run) {
                onFinished.run();
            }
        });
    }

    /** Returns the time at which work ends that takes {@code workMillis} at the announced speed. */
    private long endMillis(long startMillis, double workMillis) {
        double nominalMillis = Math.min(workMillis, Math.max(0, slowFromMillis - startMillis));
        return (long) Math.ceil(startMillis + nominalMillis + (workMillis - nominalMillis) * slowFactor);
    }

    /** Frees the slot of a finished or cancelled request and returns how many of its prompt tokens were prefilled. */
    long end(RequestId id) {
        Run run = runs.remove(id);
        if (loop.nowMillis() >= run.prefillEndMillis()) {
            return run.promptTokens();
        }
        double prefilledShare =
                (double) (loop.nowMillis() - run.startMillis()) / (run.prefillEndMillis() - run.startMillis());
        return (long) (run.promptTokens() * prefilledShare);
    }

    private record Run(long startMillis, long prefillEndMillis, int promptTokens) {}
}

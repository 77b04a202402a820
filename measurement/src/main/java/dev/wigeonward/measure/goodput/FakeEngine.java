package dev.wigeonward.measure.goodput;

import java.util.HashMap;
import java.util.Map;

import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.request.RequestId;

/**
 * An engine with continuous batching: each slot prefills and decodes one request at the engine's speed. It starts what
 * it is given and knows no priority.
 */
final class FakeEngine {
    private static final int MILLIS_PER_SECOND = 1_000;

    private final UpstreamDescription description;
    private final long slowFromMillis;
    private final double slowFactor;
    private final EventLoop loop;
    private final Map<RequestId, Run> runs = new HashMap<>();

    /**
     * Creates an engine that needs {@code slowFactor} times its announced time from {@code slowFromMillis} on.
     */
    FakeEngine(UpstreamDescription description, long slowFromMillis, double slowFactor, EventLoop loop) {
        this.description = description;
        this.slowFromMillis = slowFromMillis;
        this.slowFactor = slowFactor;
        this.loop = loop;
    }

    UpstreamDescription description() {
        return description;
    }

    void start(Job job, Runnable onFinished) {
        if (runs.size() >= description.slots()) {
            throw new IllegalStateException("no free slot at " + description.upstreamId());
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

    private long endMillis(long startMillis, double workMillis) {
        double beforeSlow = Math.min(workMillis, Math.max(0, slowFromMillis - startMillis));
        return (long) Math.ceil(startMillis + beforeSlow + (workMillis - beforeSlow) * slowFactor);
    }

    /** Frees the slot of a finished or cancelled request and returns the prompt tokens that were prefilled. */
    long end(RequestId id) {
        Run run = runs.remove(id);
        if (loop.nowMillis() >= run.prefillEndMillis()) {
            return run.promptTokens();
        }
        double done = (double) (loop.nowMillis() - run.startMillis()) / (run.prefillEndMillis() - run.startMillis());
        return (long) (run.promptTokens() * done);
    }

    private record Run(long startMillis, long prefillEndMillis, int promptTokens) {}
}

package dev.wigeonward.gateway.exchange;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;

import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.core.suspect.SuspectFact;
import dev.wigeonward.core.suspect.SuspectPartFact;
import dev.wigeonward.core.suspect.SuspectPartKey;
import dev.wigeonward.core.suspect.SuspectPartListener;
import dev.wigeonward.core.suspect.SuspectPartTable;
import dev.wigeonward.core.suspect.SuspectRestriction;
import dev.wigeonward.core.suspect.SuspectTable;
import dev.wigeonward.core.suspect.UpstreamCrash;
import dev.wigeonward.gateway.event.Telemetry;
import dev.wigeonward.gateway.upstream.UpstreamConnectionPool;
import dev.wigeonward.gateway.upstream.UpstreamConnectionPool.ProbeResult;
import io.netty.channel.EventLoop;

/**
 * Detector of upstreams that crashed while they ran requests. It collects which requests, and which parts of their
 * prompts, may be to blame. Runs on the event loop.
 */
final class CrashDetector {
    /** Delay between a broken run and the probe of its upstream; a crashed upstream stays unreachable for seconds. */
    private static final long PROBE_DELAY_MILLIS = 100;

    private final EventLoop loop;
    private final LongSupplier nowMillis;
    private final UpstreamConnectionPool connections;
    private final Telemetry telemetry;
    private final Function<String, ServiceScheduler> schedulers;
    private final SuspectTable requests = SuspectTable.create();
    private final SuspectPartTable parts;
    private SuspectPublisher publisher;

    /**
     * Creates a detector without any evidence, which it publishes nowhere.
     *
     * @param schedulers returns the scheduler of a service
     */
    CrashDetector(
            EventLoop loop,
            LongSupplier nowMillis,
            UpstreamConnectionPool connections,
            Telemetry telemetry,
            Function<String, ServiceScheduler> schedulers) {
        this.loop = loop;
        this.nowMillis = nowMillis;
        this.connections = connections;
        this.telemetry = telemetry;
        this.schedulers = schedulers;
        this.parts = SuspectPartTable.create(new PartLogger());
        this.publisher = new SuspectPublisher() {
            @Override
            public void publishRequest(long fingerprint, String upstreamLifetime, long atMillis) {
                requests.onUpstreamDied(fingerprint, upstreamLifetime, atMillis);
            }

            @Override
            public void publishParts(List<SuspectPartFact> facts) {}
        };
    }

    void setPublisher(SuspectPublisher newPublisher) {
        publisher = newPublisher;
    }

    SuspectTable requests() {
        return requests;
    }

    SuspectPartTable parts() {
        return parts;
    }

    /**
     * Probes the upstream of a broken run. The request and the parts of its prompt become suspect only if the upstream
     * has ended, because connections also break for other reasons.
     */
    void onBroken(BrokenRun run) {
        loop.schedule(
                () -> connections.probe(run.upstream(), result -> {
                    if (result != ProbeResult.ACCEPTED) {
                        onUnreachable(run, result);
                    }
                }),
                PROBE_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void onUnreachable(BrokenRun run, ProbeResult result) {
        long now = nowMillis.getAsLong();
        ServiceScheduler scheduler = schedulers.apply(run.upstream().service());
        // An upstream that left as planned, or whose host does not answer, was not ended by a request.
        boolean crashed = result == ProbeResult.REFUSED && scheduler.isListedAsReady(run.upstream());
        scheduler.suspend(run.upstream().id());
        telemetry.count("upstream.crash_suspected");
        publisher.publishRequest(run.fingerprint(), run.upstream().lifetimeId(), now);
        telemetry
                .log()
                .warning(
                        "request_suspect",
                        "fingerprint=" + Long.toHexString(run.fingerprint()) + " upstream="
                                + run.upstream().lifetimeId() + " restriction="
                                + requests.restriction(run.fingerprint(), now) + " parts_suspect="
                                + (crashed && !run.answering()));
        if (crashed && !run.answering()) {
            UpstreamCrash crash = new UpstreamCrash(
                    run.upstream().lifetimeId(), run.fingerprint(), Math.max(0, now - run.atMillis()));
            publish(parts.onUpstreamCrashed(run.sharedParts(), run.upstream().version(), crash, now));
        }
    }

    /** Records that an upstream has got beyond the beginning of its answer to a request. */
    void onAnswering(List<Long> sharedParts, String version, long beganAtMillis) {
        publish(parts.onAnswering(sharedParts, version, beganAtMillis, nowMillis.getAsLong()));
    }

    private void publish(List<SuspectPartFact> facts) {
        if (!facts.isEmpty()) {
            publisher.publishParts(facts);
        }
    }

    /** Returns the state as lines of a dump. */
    List<String> dumpLines() {
        long now = nowMillis.getAsLong();
        List<SuspectFact> facts = requests.activeFacts(now);
        long refused = facts.stream()
                .filter(fact -> requests.restriction(fact.fingerprint(), now) == SuspectRestriction.REFUSED)
                .count();
        return List.of(
                "suspects " + facts.size() + " refused " + refused,
                "suspect_parts " + parts.size() + " refused "
                        + parts.refusedFacts(now).stream()
                                .filter(fact -> fact.refusedForMillis() > 0)
                                .count());
    }

    /** Logger of changed restrictions. */
    private final class PartLogger implements SuspectPartListener {
        @Override
        public void onRefused(SuspectPartFact fact) {
            telemetry.count("suspect_part.refused");
            telemetry
                    .log()
                    .warning(
                            "part_refused",
                            name(fact.key()) + " for_ms=" + fact.refusedForMillis() + " refusals=" + fact.refusals()
                                    + " crashed="
                                    + String.join(
                                            ",",
                                            fact.crashes().stream()
                                                    .map(UpstreamCrash::upstreamLifetime)
                                                    .toList()));
        }

        @Override
        public void onCleared(SuspectPartKey key) {
            telemetry.count("suspect_part.cleared");
            telemetry.log().info("part_cleared", name(key));
        }

        private String name(SuspectPartKey key) {
            return "part=" + Long.toHexString(key.part()) + " version=" + key.version();
        }
    }
}

package dev.wigeonward.agent;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import dev.wigeonward.agent.control.AgentControlPlane;
import dev.wigeonward.agent.runtime.AgentRuntime;
import dev.wigeonward.agent.runtime.AgentRuntimeComponents;
import dev.wigeonward.agent.upstream.HttpUpstreamClient;
import dev.wigeonward.common.clock.MonotonicClock;
import dev.wigeonward.common.http.AdminServer;
import dev.wigeonward.core.dispatch.AgentDispatcher;
import dev.wigeonward.core.dispatch.AgentLimits;
import dev.wigeonward.core.engine.EngineLimits;
import dev.wigeonward.core.engine.PriorityEngineQueue;
import dev.wigeonward.exchange.CurrentRules;
import dev.wigeonward.wire.LinkSettings;
import dev.wigeonward.wire.generated.Hello;
import dev.wigeonward.wire.generated.UpstreamInfo;

/** The running agent process: the runtime with its adapters for upstream, links, store and admin pages. */
public final class AgentProcess {
    private static final Logger LOG = System.getLogger(AgentProcess.class.getName());

    private final AgentSettings settings;
    private final AgentRuntime runtime;
    private final AdminServer admin;

    private AgentProcess(AgentSettings settings, AgentRuntime runtime, AdminServer admin) {
        this.settings = settings;
        this.runtime = runtime;
        this.admin = admin;
    }

    /** Starts an agent. */
    public static AgentProcess start(AgentSettings settings) throws Exception {
        MonotonicClock clock = MonotonicClock.start();
        SplittableRandom random = new SplittableRandom();
        long incarnation = random.nextLong();
        CurrentRules rules = new CurrentRules();
        AgentDispatcher dispatcher = AgentDispatcher.create(
                incarnation,
                PriorityEngineQueue.create(engineLimits(settings), settings.speed(), rules),
                AgentLimits.defaults());
        HttpUpstreamClient upstream = settings.engine()
                ? HttpUpstreamClient.forEngine(settings.upstreamAddress())
                : HttpUpstreamClient.forPlainService(settings.upstreamAddress());
        StoreFencingNumber fencingNumbers = new StoreFencingNumber(settings.store(), clock);
        AgentRuntime runtime = AgentRuntime.start(
                new AgentRuntimeComponents(
                        dispatcher, upstream, clock, LinkSettings.defaults(), hello(settings, incarnation)),
                self -> new AgentControlPlane(
                        settings.id() + "/" + Long.toHexString(incarnation),
                        Set.of(settings.version()),
                        rules,
                        upstream,
                        fencingNumbers,
                        self,
                        random,
                        self::execute));
        runtime.listen(settings.linkAddress());
        AdminServer admin = AdminServer.start(
                settings.adminAddress(),
                Map.of(
                        "/admin/dump", () -> runtime.query(runtime::dump),
                        "/admin/status", () -> runtime.query(runtime::status),
                        "/admin/metrics",
                                () -> CompletableFuture.completedFuture(
                                        runtime.metrics().getCounters()),
                        "/admin/health", () -> runtime.query(runtime::health)));
        LOG.log(Level.INFO, "agent {0} accepts links on {1}", settings.id(), settings.linkAddress());
        return new AgentProcess(settings, runtime, admin);
    }

    private static EngineLimits engineLimits(AgentSettings settings) {
        return new EngineLimits(
                settings.slots(),
                settings.slots() * settings.workPerSlotMillis(),
                settings.shortRequestMillis(),
                settings.queueCapacity());
    }

    private static Hello hello(AgentSettings settings, long incarnation) {
        return Hello.newBuilder()
                .setNodeId(settings.id())
                .setIncarnation(incarnation)
                .setFailureDomain(settings.failureDomain())
                .setUpstream(UpstreamInfo.newBuilder()
                        .setUpstreamId(settings.id())
                        .setTarget(settings.target())
                        .setVersion(settings.version())
                        .setPlainService(!settings.engine())
                        .setSlots(settings.slots())
                        .setPrefillTokensPerSecond(settings.speed().prefillTokensPerSecond())
                        .setDecodeTokensPerSecond(settings.speed().decodeTokensPerSecond()))
                .build();
    }

    /** Stops the agent: tells the entries that it leaves, waits for requests up to the drain limit, and closes. */
    public void drainAndClose() {
        try {
            runtime.drain(TimeUnit.SECONDS.toMillis(settings.drainLimitSeconds()))
                    .toCompletableFuture()
                    .get(settings.drainLimitSeconds(), TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(
                    Level.WARNING,
                    "requests are unfinished after the drain limit of " + settings.drainLimitSeconds() + " s",
                    e);
        }
        admin.close();
        runtime.close();
        LOG.log(Level.INFO, "agent {0} stopped", settings.id());
    }
}

package dev.wigeonward.entry;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import dev.wigeonward.core.admission.FifoAdmissionQueue;
import dev.wigeonward.core.dispatch.DispatchLimits;
import dev.wigeonward.core.dispatch.DispatchPolicies;
import dev.wigeonward.core.dispatch.EntryDispatcher;
import dev.wigeonward.core.dispatch.RetryPermits;
import dev.wigeonward.core.dispatch.SuspectGate;
import dev.wigeonward.core.dispatch.VersionRouter;
import dev.wigeonward.core.placement.LeastOutstanding;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.rules.Rule;
import dev.wigeonward.core.rules.RuleParseResult;
import dev.wigeonward.core.rules.RuleParser;
import dev.wigeonward.core.rules.RuleSet;
import dev.wigeonward.entry.caller.CallerLimits;
import dev.wigeonward.entry.caller.CallerService;
import dev.wigeonward.entry.caller.RulesClassifier;
import dev.wigeonward.entry.runtime.ClaimPort;
import dev.wigeonward.entry.runtime.EntryMetrics;
import dev.wigeonward.entry.runtime.EntryRuntime;
import dev.wigeonward.platform.clock.MonotonicClock;
import dev.wigeonward.platform.http.AdminServer;
import dev.wigeonward.wire.LinkSettings;
import dev.wigeonward.wire.generated.Hello;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;

/** An entry with all its adapters. */
public final class EntryProcess {
    private static final Logger LOG = System.getLogger(EntryProcess.class.getName());
    private static final CallerLimits LIMITS = new CallerLimits(1 << 20, 8_192, 16_384, 65_536);
    private static final int QUEUE_CAPACITY = 1_024;

    private final EntrySettings settings;
    private final EntryRuntime runtime;
    private final EntryMetrics metrics;
    private final HttpServerContext callers;
    private final AdminServer admin;

    private EntryProcess(
            EntrySettings settings,
            EntryRuntime runtime,
            EntryMetrics metrics,
            HttpServerContext callers,
            AdminServer admin) {
        this.settings = settings;
        this.runtime = runtime;
        this.metrics = metrics;
        this.callers = callers;
        this.admin = admin;
    }

    /** Starts an entry. */
    public static EntryProcess start(EntrySettings settings, Path rulesFile) throws Exception {
        MonotonicClock clock = MonotonicClock.start();
        SplittableRandom random = settings.seed() == 0 ? new SplittableRandom() : new SplittableRandom(settings.seed());
        long incarnation = random.nextLong();
        AtomicReference<Optional<RuleSet>> rules = new AtomicReference<>(loadRules(rulesFile));
        EntryMetrics metrics = new EntryMetrics();
        EntryDispatcher dispatcher = EntryDispatcher.create(policies(), DispatchLimits.defaults());
        Hello hello = Hello.newBuilder()
                .setNodeId(settings.id())
                .setIncarnation(incarnation)
                .setFailureDomain(settings.failureDomain())
                .build();
        EntryRuntime runtime = new EntryRuntime(
                dispatcher, ClaimPort.unavailable(), clock, metrics, random, LinkSettings.defaults(), hello);
        settings.agents().forEach(runtime::addAgent);
        AtomicLong sequence = new AtomicLong();
        CallerService service = new CallerService(
                new RulesClassifier(rules::get),
                runtime,
                () -> models(rules.get()),
                LIMITS,
                () -> RequestId.of(settings.id(), incarnation, sequence.incrementAndGet()),
                clock);
        HttpServerContext callers = HttpServers.forAddress(settings.callersAddress())
                .protocols(HttpProtocolConfigs.h1()
                        .maxStartLineLength(LIMITS.startLineBytes())
                        .maxHeaderFieldLength(LIMITS.headerFieldBytes())
                        .build())
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .listenStreamingAndAwait(service);
        AdminServer admin = AdminServer.start(
                settings.adminAddress(),
                Map.of(
                        "/admin/dump", () -> runtime.query(runtime::dump),
                        "/admin/metrics", () -> CompletableFuture.completedFuture(metrics.snapshot()),
                        "/admin/health", () -> CompletableFuture.completedFuture(Map.of("ready", true))));
        LOG.log(Level.INFO, "entry {0} takes requests on {1}", settings.id(), callers.listenAddress());
        return new EntryProcess(settings, runtime, metrics, callers, admin);
    }

    private static DispatchPolicies policies() {
        return new DispatchPolicies(
                () -> FifoAdmissionQueue.withCapacity(QUEUE_CAPACITY),
                LeastOutstanding.create(),
                LeastOutstanding.create(),
                VersionRouter.first(),
                RetryPermits.unlimited(),
                SuspectGate.open());
    }

    private static Optional<RuleSet> loadRules(Path file) throws IOException {
        if (file == null) {
            return Optional.empty();
        }
        RuleParseResult result = RuleParser.parse(file.toString(), Files.readString(file));
        if (result instanceof RuleParseResult.Invalid invalid) {
            throw new IOException("invalid rules: " + invalid.problems());
        }
        return Optional.of(((RuleParseResult.Valid) result).rules());
    }

    private static Map<String, Object> models(Optional<RuleSet> rules) {
        List<Map<String, String>> models = rules.stream()
                .flatMap(set -> set.rules().stream())
                .filter(Rule.Model.class::isInstance)
                .map(rule -> Map.of("id", ((Rule.Model) rule).name(), "object", "model", "owned_by", "wigeonward"))
                .toList();
        return Map.of("object", "list", "data", models);
    }

    /** Refuses new requests, waits for the others up to the drain limit, and stops. */
    public void drainAndClose() {
        try {
            runtime.drain().toCompletableFuture().get(settings.drainLimitSeconds(), TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(Level.WARNING, "requests are left after the drain limit", e);
        }
        callers.closeAsyncGracefully().subscribe();
        admin.close();
        runtime.close();
        LOG.log(Level.INFO, "entry stopped: {0}", metrics.snapshot());
    }
}

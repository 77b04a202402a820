package dev.wigeonward.entry;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import dev.wigeonward.common.clock.MonotonicClock;
import dev.wigeonward.common.http.AdminServer;
import dev.wigeonward.common.ring.DaemonSchedulers;
import dev.wigeonward.common.vms.HttpVmList;
import dev.wigeonward.common.vms.VmList;
import dev.wigeonward.common.vms.VmSnapshot;
import dev.wigeonward.core.admission.WorkspaceRateLimiter;
import dev.wigeonward.core.dispatch.DispatchLimits;
import dev.wigeonward.core.dispatch.EntryDispatcher;
import dev.wigeonward.core.placement.PrefixIndex;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.rollout.StageView;
import dev.wigeonward.core.rules.Rule;
import dev.wigeonward.core.rules.RuleSet;
import dev.wigeonward.core.suspect.SuspectPartListener;
import dev.wigeonward.core.suspect.SuspectPartTable;
import dev.wigeonward.core.suspect.SuspectTable;
import dev.wigeonward.entry.caller.CallerLimits;
import dev.wigeonward.entry.caller.CallerService;
import dev.wigeonward.entry.caller.ConnectionLimit;
import dev.wigeonward.entry.caller.RulesClassifier;
import dev.wigeonward.entry.control.ControlPlane;
import dev.wigeonward.entry.control.ControlPlaneDependencies;
import dev.wigeonward.entry.control.SpendTracker;
import dev.wigeonward.entry.runtime.EntryMetrics;
import dev.wigeonward.entry.runtime.EntryRuntime;
import dev.wigeonward.entry.runtime.EntryRuntimeComponents;
import dev.wigeonward.entry.store.StoreAdapters;
import dev.wigeonward.entry.store.StoredSpendTotals;
import dev.wigeonward.exchange.CurrentRules;
import dev.wigeonward.wire.LinkSettings;
import dev.wigeonward.wire.generated.Hello;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;

/** The running entry process: the runtime with its adapters for callers, store, VM list and admin pages. */
public final class EntryProcess {
    private static final Logger LOG = System.getLogger(EntryProcess.class.getName());
    private final EntrySettings settings;
    private final EntryRuntime runtime;
    private final EntryMetrics metrics;
    private final StoreAdapters store;
    private final VmList vms;
    private final ScheduledExecutorService vmThread;
    private final HttpServerContext callerServer;
    private final AdminServer admin;

    private EntryProcess(EntrySettings settings) throws Exception {
        MonotonicClock clock = MonotonicClock.start();
        SplittableRandom random = settings.seed() == 0 ? new SplittableRandom() : new SplittableRandom(settings.seed());
        long incarnation = random.nextLong();
        this.settings = settings;
        this.metrics = new EntryMetrics();
        this.store = new StoreAdapters(settings.store(), settings.id(), clock, metrics.registry());
        CurrentRules rules = new CurrentRules();
        SpendTracker spend = new SpendTracker(settings.id(), rules, new StoredSpendTotals(store.store()), clock);
        PrefixIndex prefixes = PrefixIndex.create();
        SuspectTable suspects = SuspectTable.create();
        SuspectPartTable suspectParts = SuspectPartTable.create(SuspectPartListener.NONE);
        StageView stages = new StageView();
        EntryDispatcher dispatcher = EntryDispatcher.create(
                Policies.of(
                        settings.failureDomain(),
                        rules,
                        spend,
                        prefixes,
                        suspects,
                        suspectParts,
                        stages,
                        random,
                        clock),
                DispatchLimits.defaults());
        Hello hello = Hello.newBuilder()
                .setNodeId(settings.id())
                .setIncarnation(incarnation)
                .setFailureDomain(settings.failureDomain())
                .build();
        EntryRuntimeComponents components = new EntryRuntimeComponents(
                dispatcher,
                store.claims(),
                clock,
                metrics,
                spend,
                prefixes,
                LinkSettings.defaults(),
                hello,
                Optional.empty());
        this.runtime = EntryRuntime.start(components, self -> {
            ControlPlaneDependencies dependencies = new ControlPlaneDependencies(
                    settings.id(),
                    clock,
                    store.rolloutRecords(),
                    store.lease()::fencingNumber,
                    store.lease()::setCandidate,
                    store.revisionWatch(self::onHeadRead),
                    spend,
                    TimeUnit.SECONDS.toMillis(settings.drainLimitSeconds()));
            return new ControlPlane(dependencies, self, rules, suspects, suspectParts, stages, random, self::execute);
        });
        this.vmThread = DaemonSchedulers.newSingleThreadScheduler("vm-list");
        WorkspaceRateLimiter rates = new WorkspaceRateLimiter();
        this.vms = HttpVmList.start(settings.vmList(), vmThread, new SplittableRandom());
        vms.subscribe(runtime::onVmsListed);
        vms.subscribe(list -> rates.setEntries(countEntries(list)));
        this.callerServer = startCallerServer(rules, rates, clock, incarnation);
        this.admin = startAdmin();
        LOG.log(Level.INFO, "entry {0} accepts requests on {1}", settings.id(), callerServer.listenAddress());
    }

    /** Starts an entry. */
    public static EntryProcess start(EntrySettings settings) throws Exception {
        return new EntryProcess(settings);
    }

    private static int countEntries(VmSnapshot list) {
        return (int) list.vms().values().stream()
                .filter(vm -> vm.role().equals("entry"))
                .count();
    }

    private HttpServerContext startCallerServer(
            CurrentRules rules, WorkspaceRateLimiter rates, MonotonicClock clock, long incarnation) throws Exception {
        AtomicLong sequence = new AtomicLong();
        CallerService service = new CallerService(
                new RulesClassifier(rules::current, rates),
                runtime,
                () -> models(rules.current()),
                () -> limits(rules.current()),
                () -> RequestId.of(settings.id(), incarnation, sequence.incrementAndGet()),
                clock);
        return HttpServers.forAddress(settings.callersAddress())
                .protocols(CallerService.protocol())
                .appendEarlyConnectionAcceptor(new ConnectionLimit(settings.maxConnections()))
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .listenStreamingAndAwait(service);
    }

    private static CallerLimits limits(Optional<RuleSet> rules) {
        long bodyBytes = rules.map(set -> set.limit(Rule.LimitName.BODY)).orElse(Rule.LimitName.BODY.defaultValue());
        long headerBytes =
                rules.map(set -> set.limit(Rule.LimitName.HEADER)).orElse(Rule.LimitName.HEADER.defaultValue());
        return new CallerLimits(Math.toIntExact(bodyBytes), Math.toIntExact(headerBytes));
    }

    private static Map<String, Object> models(Optional<RuleSet> rules) {
        List<Map<String, String>> models = rules.stream()
                .flatMap(set -> set.rules().stream())
                .filter(Rule.Model.class::isInstance)
                .map(rule -> Map.of("id", ((Rule.Model) rule).name(), "object", "model", "owned_by", "wigeonward"))
                .toList();
        return Map.of("object", "list", "data", models);
    }

    private AdminServer startAdmin() throws Exception {
        return AdminServer.start(
                settings.adminAddress(),
                Map.of(
                        "/admin/dump", () -> runtime.query(runtime::dump),
                        "/admin/status", () -> runtime.query(this::status),
                        "/admin/metrics", () -> CompletableFuture.completedFuture(metrics.snapshot()),
                        "/admin/health", () -> runtime.query(this::health)));
    }

    private Map<String, Object> status() {
        Map<String, Object> status = new TreeMap<>(runtime.status());
        status.put("id", settings.id());
        status.put("failure_domain", settings.failureDomain());
        status.put("refusals", metrics.failuresByKind());
        return status;
    }

    private Object health() {
        return runtime.ready()
                ? Map.of("ready", true)
                : new AdminServer.Unhealthy("the entry has no rules revision in force or is shutting down");
    }

    /** Returns the address on which callers' requests are accepted. */
    public InetSocketAddress callersAddress() {
        return (InetSocketAddress) callerServer.listenAddress();
    }

    /**
     * Stops the entry gracefully: fails the health page for the drain notice time, then refuses new requests, waits for
     * the others up to the drain limit, and closes all adapters.
     */
    public void drainAndClose() {
        runtime.failHealthCheck();
        try {
            TimeUnit.SECONDS.sleep(settings.drainNoticeSeconds());
            runtime.drain().toCompletableFuture().get(settings.drainLimitSeconds(), TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(
                    Level.WARNING,
                    "requests are unfinished after the drain limit of " + settings.drainLimitSeconds() + " s",
                    e);
        }
        closeCallerServer();
        admin.close();
        runtime.close();
        store.close();
        vms.close();
        vmThread.shutdown();
        LOG.log(Level.INFO, "entry stopped: {0}", metrics.snapshot());
    }

    /**
     * Closes the server once the open answers are sent. An answer that is complete in the runtime may still be in
     * transit to its caller.
     */
    private void closeCallerServer() {
        try {
            callerServer.closeAsyncGracefully().toFuture().get(settings.drainLimitSeconds(), TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(
                    Level.WARNING,
                    "caller connections are still open after the drain limit of " + settings.drainLimitSeconds() + " s",
                    e);
        }
    }
}

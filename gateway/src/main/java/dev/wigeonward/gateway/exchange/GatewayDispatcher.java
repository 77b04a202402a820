package dev.wigeonward.gateway.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.common.clock.MonotonicClock;
import dev.wigeonward.core.cap.EntryGroup;
import dev.wigeonward.core.cap.RetryBudgetShare;
import dev.wigeonward.core.deployment.RoutingConfiguration;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.evacuation.EvacuatedZones;
import dev.wigeonward.core.rollout.VersionConstraint;
import dev.wigeonward.core.schedule.KeptPrompts;
import dev.wigeonward.core.schedule.ObservedUnitTime;
import dev.wigeonward.core.schedule.RefusalReason;
import dev.wigeonward.core.schedule.RetryTimePolicy;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.core.schedule.ServiceScheduler.EntryLoad;
import dev.wigeonward.core.schedule.Upstream;
import dev.wigeonward.core.suspect.SuspectPartTable;
import dev.wigeonward.core.suspect.SuspectTable;
import dev.wigeonward.gateway.coordination.EntryCoordination;
import dev.wigeonward.gateway.coordination.PlacementTransport;
import dev.wigeonward.gateway.event.Telemetry;
import dev.wigeonward.gateway.memory.MemoryBudgets;
import dev.wigeonward.gateway.port.HeaderCodec;
import dev.wigeonward.gateway.upstream.UpstreamConnectionPool;
import io.netty.channel.EventLoop;

/**
 * Dispatcher of one entry: checks each fully received request against the active configuration, queues it at the
 * scheduler of its service and runs it as an {@link Exchange}. All state is confined to one event loop.
 */
public final class GatewayDispatcher {
    /** Interval between comparisons of the upstreams' unit times, and between probes of suspended upstreams. */
    private static final long UPSTREAM_CHECK_PERIOD_MILLIS = 250;

    private static final long NOT_READY_RETRY_MILLIS = 400;

    /** Shortest retry time stated when requests hold too much memory; most of them hold it for tenths of a second. */
    private static final long MEMORY_RETRY_MILLIS = 200;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final HeaderCodec headerCodec;
    private final UpstreamConnectionPool connections;
    private final Telemetry telemetry;
    private final RetryTimePolicy retryTime;
    private final WorkspaceCaps workspaceCaps;
    private final CrashDetector crashDetector;
    private final UpstreamNotices notices;
    private final AdmissionChecker admissionChecker;
    private final ScheduledRequestFactory scheduledRequestFactory = new ScheduledRequestFactory();
    private final ServiceRollouts rollouts;
    private final EvacuatedZones evacuatedZones = new EvacuatedZones();
    private final ServiceSchedulers schedulers;
    private final RequestQueues queues;
    private final Map<String, RetryBudgetShare> retryShares = new HashMap<>();
    private final KeptPrompts keptPrompts = KeptPrompts.create();
    private final SchedulerPoliciesFactory policiesFactory;
    private final UpstreamPaces paces;
    private final UpstreamProbes probes;
    private final MemoryBudgets memory;
    private PathSettings settings;
    private Optional<RoutingConfiguration> configuration = Optional.empty();
    private boolean upstreamsKnown;
    private int knownEntryCount = 1;
    private int runningCount;
    private final ProcessStop stop = new ProcessStop();

    private GatewayDispatcher(
            EventLoop loop,
            MonotonicClock clock,
            HeaderCodec headerCodec,
            PathSettings settings,
            UpstreamConnectionPool connections,
            Telemetry telemetry,
            MemoryBudgets memory,
            Random random) {
        this.memory = memory;
        this.loop = loop;
        this.clock = clock;
        this.headerCodec = headerCodec;
        this.settings = settings;
        this.connections = connections;
        this.telemetry = telemetry;
        this.paces = new UpstreamPaces(settings.scheduling().pace(), this::takesAnySlot, this::nowMillis, telemetry);
        this.policiesFactory = SchedulerPoliciesFactory.create(random, paces.policy(), telemetry, this::nowMillis);
        this.retryTime = policiesFactory.retryTime();
        this.probes = new UpstreamProbes(connections, telemetry, this::decide);
        this.workspaceCaps = new WorkspaceCaps(settings);
        this.rollouts = new ServiceRollouts(settings.exposureLimit());
        this.crashDetector = new CrashDetector(loop, this::nowMillis, connections, telemetry, this::scheduler);
        this.notices = new UpstreamNotices(this::nowMillis, telemetry, paces);
        this.admissionChecker = new AdmissionChecker(workspaceCaps, crashDetector.requests(), random);
        this.schedulers = new ServiceSchedulers(service -> ServiceScheduler.create(
                policiesFactory.createPolicies(this.settings, () -> takesAnySlot(service)),
                keptPrompts,
                crashDetector.parts()::refusedVersions));
        this.queues = new RequestQueues(schedulers, loop, telemetry, this::nowMillis);
    }

    /** Returns a dispatcher that refuses all requests until {@link #configure} provides a configuration. */
    public static GatewayDispatcher create(
            EventLoop loop,
            MonotonicClock clock,
            HeaderCodec headerCodec,
            PathSettings settings,
            UpstreamConnectionPool connections,
            Telemetry telemetry,
            MemoryBudgets memory,
            Random random) {
        GatewayDispatcher dispatcher =
                new GatewayDispatcher(loop, clock, headerCodec, settings, connections, telemetry, memory, random);
        loop.scheduleAtFixedRate(
                telemetry.guard("upstream_check", dispatcher::checkUpstreams),
                UPSTREAM_CHECK_PERIOD_MILLIS,
                UPSTREAM_CHECK_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
        return dispatcher;
    }

    private void checkUpstreams() {
        paces.report();
        schedulers.all().forEach(scheduler -> {
            scheduler.updateTypicalUnitTime();
            probes.check(scheduler);
        });
    }

    /** Activates a configuration unless the active one has the same or a higher version. */
    public void configure(RoutingConfiguration newer) {
        if (configuration.isPresent() && configuration.get().version() >= newer.version()) {
            return;
        }
        configuration = Optional.of(newer);
        paces.configure(newer);
        workspaceCaps.setWorkspaces(newer.workspaces(), nowMillis());
        telemetry
                .log()
                .info(
                        "configuration",
                        "version=" + newer.version() + " tenants="
                                + newer.workspaces().size());
    }

    /**
     * Replaces the bounds. Usage and retries already counted against the old bounds remain counted; the failure domain
     * of existing schedulers does not change.
     */
    public void updateSettings(PathSettings newer) {
        settings = newer;
        paces.updateSettings(newer.scheduling().pace());
        retryShares
                .values()
                .forEach(share ->
                        share.setLimits(newer.retryRatio(), newer.retryAllowance(), newer.retryWindowMillis()));
        workspaceCaps.updateSettings(newer);
        rollouts.setExposureLimit(newer.exposureLimit());
        configuration.ifPresent(current -> workspaceCaps.setWorkspaces(current.workspaces(), nowMillis()));
    }

    /** Replaces the lists of upstreams of all services. */
    public void setUpstreams(Collection<Upstream> listed) {
        upstreamsKnown = true;
        paces.setUpstreams(listed);
        schedulers.setUpstreams(listed.stream().map(evacuatedZones::mark).toList());
        connections.closeUnlisted(listed);
        probes.retainListed(listed);
        long leaving = listed.stream().filter(Upstream::draining).count();
        telemetry.log().info("upstreams", "listed=" + listed.size() + " leaving=" + leaving);
        decide();
    }

    /** Returns whether a configuration is active and a list of upstreams was received. */
    public boolean ready() {
        return configuration.isPresent() && upstreamsKnown;
    }

    /** Returns the active configuration. */
    public Optional<RoutingConfiguration> configuration() {
        return configuration;
    }

    /** Returns the budgets of the bytes that all connections hold together. */
    public MemoryBudgets memory() {
        return memory;
    }

    /** Returns the time after which a caller should come back whose request this process has no memory for. */
    public long memoryRetryMillis() {
        return retryTime.spreadAfter(MEMORY_RETRY_MILLIS);
    }

    /** Returns the number of requests without a final answer. */
    public int runningCount() {
        return runningCount;
    }

    /** Sets the entries that share the budgets. */
    public void setEntries(EntryGroup entries) {
        knownEntryCount = entries.known();
        policiesFactory.setEntries(entries.heard());
        workspaceCaps.setEntries(entries, nowMillis());
    }

    /** Replaces all loads of a peer, or only those at the given upstreams if the report is partial. */
    public void onPeerLoads(String peer, List<EntryLoad> loads, boolean partial) {
        decideIfWaiting(schedulers.onPeerLoads(peer, loads, partial));
    }

    /** Discards the loads of a peer that is not heard any more. */
    public void removePeerLoads(String peer) {
        decideIfWaiting(schedulers.removePeerLoads(peer));
    }

    private void decideIfWaiting(boolean loadsChanged) {
        if (loadsChanged && queues.anyWaiting()) {
            decide();
        }
    }

    /** Records the usage that a peer has admitted for each workspace. */
    public void mergePeerUsage(String peer, long incarnation, Map<String, WorkspaceCaps.Usage> usages) {
        workspaceCaps.onPeerReport(peer, incarnation, usages, nowMillis());
    }

    /** Stops counting the workspace usage of a peer that is not heard any more. */
    public void removePeerUsage(String peer) {
        workspaceCaps.removePeer(peer, nowMillis());
    }

    /** Returns the load of this entry on each upstream, for its peers. */
    public List<EntryLoad> ownLoads() {
        return schedulers.ownLoads();
    }

    /** Returns the usage that this entry has admitted for each workspace, for its peers. */
    public Map<String, WorkspaceCaps.Usage> ownUsages() {
        return workspaceCaps.usages(nowMillis());
    }

    /** Returns the observed unit times of all upstreams. */
    public List<ObservedUnitTime> unitTimes() {
        return schedulers.unitTimes(nowMillis());
    }

    /** Returns the observed unit times that have changed significantly since the last call. */
    public List<ObservedUnitTime> takeChangedUnitTimes() {
        return schedulers.takeChangedUnitTimes(nowMillis());
    }

    /** Adopts unit times that other entries have observed, as far as they are newer than those of this entry. */
    public void adoptNewerUnitTimes(List<ObservedUnitTime> unitTimes) {
        schedulers.adoptNewerUnitTimes(unitTimes, nowMillis());
    }

    /** Returns the estimate of the prompts that upstreams keep, which peers synchronize. */
    public KeptPrompts keptPrompts() {
        return keptPrompts;
    }

    /** Returns the pace of the upstreams, which peers synchronize. */
    public UpstreamPaces paces() {
        return paces;
    }

    /** Returns the state of rollouts. */
    public ServiceRollouts rollouts() {
        return rollouts;
    }

    /** Returns the requests of all entries that are outstanding at the service's upstreams of other versions. */
    public int outstandingAtOtherVersions(String service, String version) {
        return scheduler(service).outstandingAtOtherVersions(version);
    }

    /** Returns the table of requests that were running when upstreams died, which peers synchronize. */
    public SuspectTable suspects() {
        return crashDetector.requests();
    }

    /** Returns the table of parts of prompts under which upstreams crashed, which peers synchronize. */
    public SuspectPartTable suspectParts() {
        return crashDetector.parts();
    }

    /** Sets the publisher of evidence on suspects. The initial one keeps it in this process. */
    public void setSuspectPublisher(SuspectPublisher newPublisher) {
        crashDetector.setPublisher(newPublisher);
    }

    UpstreamNotices notices() {
        return notices;
    }

    CrashDetector crashDetector() {
        return crashDetector;
    }

    /** Returns the planned stop of this process. */
    public ProcessStop processStop() {
        return stop;
    }

    /**
     * Returns an exchange for a request. Once started, it ends with exactly one final answer unless the caller
     * closes its connection.
     */
    public Exchange createExchange(CallerRequest request, AnswerSink sink) {
        runningCount++;
        return new Exchange(this, request, sink);
    }

    /** Returns the elapsed time of the monotonic clock in milliseconds. */
    public long millis() {
        return nowMillis();
    }

    /** Returns the metrics and the log of this process. */
    public Telemetry telemetry() {
        return telemetry;
    }

    /** Returns the zones that are evacuated; a change takes effect with {@link #setUpstreams}. */
    public EvacuatedZones evacuatedZones() {
        return evacuatedZones;
    }

    void onExchangeEnded() {
        runningCount--;
    }

    /** Returns the admission of a request, or the reason for its refusal. */
    Admission admit(CallerRequest request) {
        if (stop.admissionStopped()) {
            return new Admission.Refused(ErrorKind.SHUTTING_DOWN, ProcessStop.RETRY_MILLIS);
        }
        if (!ready()) {
            return new Admission.Refused(ErrorKind.NOT_READY, NOT_READY_RETRY_MILLIS);
        }
        return admissionChecker.admit(request, configuration.orElseThrow(), nowMillis());
    }

    /** Returns a scheduled request for the first or a further run of a request. */
    ScheduledRequest createScheduledRequest(CallerRequest request, Admission.Admitted admitted, long deadlineAtMillis) {
        VersionConstraint versionConstraint =
                rollouts.versionConstraint(admitted.service(), admitted.route().name(), nowMillis());
        return scheduledRequestFactory.of(request, admitted, deadlineAtMillis, versionConstraint);
    }

    /** Queues a scheduled request; the exchange receives the decision on it. */
    void offer(ScheduledRequest request, Exchange exchange, String service) {
        if (scheduler(service).isRefused(request, nowMillis())) {
            exchange.onRefused(RefusalReason.SUSPECT_PART, 0);
            return;
        }
        queues.offer(service, request, exchange);
    }

    /** Removes a scheduled request from the queue if no decision was made on it. */
    void withdraw(ScheduledRequest request, String service) {
        queues.withdraw(service, request);
    }

    ServiceScheduler scheduler(String service) {
        return schedulers.of(service);
    }

    RetryBudgetShare retryShare(String service) {
        return retryShares.computeIfAbsent(
                service,
                name -> RetryBudgetShare.create(
                        settings.retryRatio(), settings.retryAllowance(), settings.retryWindowMillis()));
    }

    /** Counts a retry and returns true if the retry budget of the service allows it. */
    boolean tryAcquireRetry(String service) {
        return retryShare(service).tryAcquire(knownEntryCount, nowMillis());
    }

    /**
     * Requests a scheduling round behind the events that are ready now, so that a request whose caller has closed its
     * connection is not placed, and a slot that becomes free is still used at once.
     */
    void decide() {
        queues.requestRound();
    }

    /** Returns the processor cores of this process, or 0 if coordination is off. */
    public double coordinationCores() {
        return settings.scheduling().coordinationCores();
    }

    /** Starts coordination with the peers over the transport, unless the settings leave it off. */
    public Optional<EntryCoordination> startCoordination(String ownAddress, PlacementTransport transport) {
        if (settings.scheduling().coordinationCores() == 0) {
            return Optional.empty();
        }
        return Optional.of(queues.startCoordination(
                new EntryCoordination.LocalEntry(
                        ownAddress, settings.zone(), settings.scheduling().coordinationCores()),
                transport));
    }

    private boolean takesAnySlot(String service) {
        return queues.takesAnySlot(service);
    }

    /** Records the first event of the answer to a placed request. */
    void onFirstEvent(ScheduledRequest request, String service) {
        queues.onFirstEvent(request, service);
    }

    /** Records the end of a placed request and frees its slot. */
    void onEnded(ScheduledRequest request, String service, ServiceScheduler.Outcome outcome) {
        queues.onEnded(request, service, outcome);
    }

    /** Returns the time after which a caller should come back whose request can be served after the earliest time. */
    long retryAfterMillis(long earliestMillis, long remainingMillis) {
        return Math.max(retryTime.retryAfterMillis(remainingMillis), retryTime.spreadAfter(earliestMillis));
    }

    /** Refunds the usage of a request that did not run to its workspace's usage cap. */
    void refundUsage(Admission.Admitted admitted) {
        admitted.workspace().ifPresent(workspace -> workspaceCaps.refund(workspace, admitted.usage()));
    }

    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.elapsedNanos());
    }

    EventLoop loop() {
        return loop;
    }

    HeaderCodec headerCodec() {
        return headerCodec;
    }

    UpstreamConnectionPool connections() {
        return connections;
    }

    void recordWait(long millis) {
        telemetry.recordTime("request.wait_millis", millis);
    }

    void count(String name) {
        telemetry.count(name);
    }

    /** Logs the outcome of a request and records its total time. */
    void logOutcome(String details, long totalMillis) {
        telemetry.recordTime("request.millis", totalMillis);
        telemetry
                .log()
                .info(
                        "request",
                        details + " configuration="
                                + configuration
                                        .map(RoutingConfiguration::version)
                                        .orElse(0L));
    }

    /** Returns the state of this process as text lines for the dump page. */
    public List<String> dumpLines() {
        List<String> lines = new ArrayList<>();
        lines.add("bounds " + settings);
        lines.add("configuration_version "
                + configuration
                        .map(current -> String.valueOf(current.version()))
                        .orElse("none"));
        lines.add("running " + runningCount);
        lines.add("entries " + knownEntryCount);
        lines.add("held_bytes " + memory.describe());
        lines.addAll(crashDetector.dumpLines());
        schedulers.forEach((service, scheduler) -> {
            lines.add("service " + service + " waiting=" + scheduler.waitingCount());
            scheduler.dumpLines(nowMillis()).forEach(line -> lines.add("upstream " + line));
        });
        lines.addAll(queues.dumpLines());
        lines.addAll(rollouts.describe(nowMillis()));
        workspaceCaps.describe(nowMillis()).forEach(line -> lines.add("tenant " + line));
        return lines;
    }
}

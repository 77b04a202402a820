package dev.wigeonward.gateway.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import dev.wigeonward.common.clock.MonotonicClock;
import dev.wigeonward.core.cap.RetryShare;
import dev.wigeonward.core.deployment.Deployment;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.rollout.VersionBound;
import dev.wigeonward.core.schedule.Decision;
import dev.wigeonward.core.schedule.Demand;
import dev.wigeonward.core.schedule.LearnedUnit;
import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.core.schedule.Upstream;
import dev.wigeonward.core.suspect.SuspectFact;
import dev.wigeonward.core.suspect.SuspectTable;
import dev.wigeonward.core.suspect.Suspicion;
import dev.wigeonward.gateway.event.Telemetry;
import dev.wigeonward.gateway.port.HttpDialect;
import dev.wigeonward.gateway.upstream.UpstreamConnections;
import io.netty.channel.EventLoop;

/**
 * Takes requests that callers have sent whole, checks them against the configuration in force, and runs each as an
 * {@link Exchange}. Runs on one event loop, which owns all state.
 */
public final class DirectPath {
    /** Pause between two looks at the queues while requests wait; short against the objectives of callers. */
    private static final long DECIDE_PERIOD_MILLIS = 10;

    private static final long COMPARE_PERIOD_MILLIS = 250;
    /** Time after a broken run at which the upstream is probed: a crashed one stays away for seconds. */
    private static final long CRASH_PROBE_DELAY_MILLIS = 100;

    private static final long NOT_READY_RETRY_MILLIS = 400;
    /** Retries reach other entries, so they may come at once. */
    private static final long SHUTTING_DOWN_RETRY_MILLIS = 20;
    /** Part of its remaining time that a caller waits at most before it comes back. */
    private static final double HEEDED_PART = 0.32;

    private static final double LEAST_SPREAD = 0.6;

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final HttpDialect dialect;
    private final UpstreamConnections connections;
    private final Telemetry telemetry;
    private final Random random;
    private final Tenants tenants;
    private final SuspectTable suspects = SuspectTable.create();
    private final Admissions admissions;
    private final Demands demands = new Demands();
    private final Versions versions = new Versions();
    private final Map<String, ServiceScheduler> schedulers = new HashMap<>();
    private final Map<String, RetryShare> retries = new HashMap<>();
    private final Map<Demand, Exchange> waiting = new HashMap<>();
    private final Set<String> probed = new HashSet<>();
    private final Set<String> takenOut = new HashSet<>();
    private PathSettings settings;
    private SuspectPublisher publisher;
    private Optional<Deployment> deployment = Optional.empty();
    private boolean upstreamsKnown;
    private int entries = 1;
    private int running;
    private boolean decideScheduled;
    private boolean refusesNew;

    private DirectPath(
            EventLoop loop,
            MonotonicClock clock,
            HttpDialect dialect,
            PathSettings settings,
            UpstreamConnections connections,
            Telemetry telemetry,
            Random random) {
        this.loop = loop;
        this.clock = clock;
        this.dialect = dialect;
        this.settings = settings;
        this.connections = connections;
        this.telemetry = telemetry;
        this.random = random;
        this.tenants = new Tenants(settings);
        this.admissions = new Admissions(tenants, suspects, random);
        this.publisher = suspects::onUpstreamDied;
    }

    /** Returns a path without configuration, which refuses all requests until it gets one. */
    public static DirectPath create(
            EventLoop loop,
            MonotonicClock clock,
            HttpDialect dialect,
            PathSettings settings,
            UpstreamConnections connections,
            Telemetry telemetry,
            Random random) {
        DirectPath path = new DirectPath(loop, clock, dialect, settings, connections, telemetry, random);
        loop.scheduleAtFixedRate(
                path::lookAfterUpstreams, COMPARE_PERIOD_MILLIS, COMPARE_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        return path;
    }

    private void lookAfterUpstreams() {
        schedulers.values().forEach(scheduler -> {
            scheduler.compareUpstreams();
            for (Upstream upstream : scheduler.suspended()) {
                if (takenOut.add(upstream.id())) {
                    telemetry.log().warning("upstream_taken_out", "id=" + upstream.id());
                }
                if (probed.add(upstream.id())) {
                    connections.drop(upstream);
                    connections.probe(upstream, accepts -> onProbed(scheduler, upstream, accepts));
                }
            }
        });
    }

    private void onProbed(ServiceScheduler scheduler, Upstream upstream, boolean accepts) {
        probed.remove(upstream.id());
        if (accepts) {
            scheduler.resume(upstream.id());
            takenOut.remove(upstream.id());
            telemetry.log().info("upstream_back", "id=" + upstream.id());
            decide();
        }
    }

    /** Puts a configuration in force, unless a newer one is. */
    public void configure(Deployment newer) {
        if (deployment.isPresent() && deployment.get().version() >= newer.version()) {
            return;
        }
        deployment = Optional.of(newer);
        tenants.declare(newer.tenants(), nowMillis());
        telemetry
                .log()
                .info(
                        "configuration",
                        "version=" + newer.version() + " tenants="
                                + newer.tenants().size());
    }

    /** Puts other bounds in force; what was spent before still counts. The zone stays as it was. */
    public void change(PathSettings newer) {
        settings = newer;
        retries.values()
                .forEach(share -> share.change(newer.retryRatio(), newer.retryAllowance(), newer.retryWindowMillis()));
        tenants.settings(newer);
        deployment.ifPresent(current -> tenants.declare(current.tenants(), nowMillis()));
    }

    /** Replaces the list of upstreams of all services. */
    public void upstreams(Collection<Upstream> listed) {
        upstreamsKnown = true;
        Map<String, List<Upstream>> byService = new HashMap<>();
        schedulers.keySet().forEach(service -> byService.put(service, new ArrayList<>()));
        for (Upstream upstream : listed) {
            byService
                    .computeIfAbsent(upstream.service(), service -> new ArrayList<>())
                    .add(upstream);
        }
        byService.forEach((service, upstreams) -> scheduler(service).upstreams(upstreams));
        connections.retain(listed);
        takenOut.retainAll(listed.stream().map(Upstream::id).toList());
        long leaving = listed.stream().filter(Upstream::draining).count();
        telemetry.log().info("upstreams", "listed=" + listed.size() + " leaving=" + leaving);
        decide();
    }

    /** Returns whether this process knows a configuration and upstreams. */
    public boolean ready() {
        return deployment.isPresent() && upstreamsKnown;
    }

    /** Returns the configuration in force. */
    public Optional<Deployment> deployment() {
        return deployment;
    }

    /** Returns how many requests have no final answer yet. */
    public int running() {
        return running;
    }

    /** Takes over the load of all peers; both counts include this entry. */
    public void peers(int heard, int known, Map<String, PeerLoad> loads) {
        entries = known;
        tenants.entries(heard, known, nowMillis());
        schedulers
                .values()
                .forEach(scheduler -> scheduler.reportPeers(id -> {
                    PeerLoad load = loads.get(id);
                    return load == null
                            ? ServiceScheduler.OwnLoad.none(id)
                            : new ServiceScheduler.OwnLoad(id, load.requests(), load.tokens());
                }));
        decide();
    }

    /** Takes over what a peer has let pass of each tenant's requests. */
    public void peerUsage(String peer, long incarnation, Map<String, Tenants.Usage> usages) {
        tenants.onPeer(peer, incarnation, usages, nowMillis());
    }

    /** A peer is not heard any more. */
    public void peerLost(String peer) {
        tenants.forget(peer);
    }

    /** Returns this entry's own load for its peers. */
    public List<PeerLoad> ownLoads() {
        List<PeerLoad> loads = new ArrayList<>();
        schedulers.values().forEach(scheduler -> scheduler
                .ownLoads()
                .forEach(own -> loads.add(new PeerLoad(own.upstreamId(), own.requests(), own.promptTokens()))));
        return loads;
    }

    /** Returns this entry's figures on each tenant for its peers. */
    public Map<String, Tenants.Usage> ownUsages() {
        return tenants.usages(nowMillis());
    }

    /** Returns all that this entry knows of the speed of upstreams. */
    public List<LearnedUnit> learned() {
        List<LearnedUnit> units = new ArrayList<>();
        schedulers.values().forEach(scheduler -> units.addAll(scheduler.learned(nowMillis())));
        return units;
    }

    /** Returns what has changed notably since the last call. */
    public List<LearnedUnit> learnedSinceTold() {
        List<LearnedUnit> units = new ArrayList<>();
        schedulers.values().forEach(scheduler -> units.addAll(scheduler.learnedSinceTold(nowMillis())));
        return units;
    }

    /** Takes over what other entries have learned of the speed of upstreams. */
    public void adopt(List<LearnedUnit> units) {
        schedulers.values().forEach(scheduler -> scheduler.adopt(units, nowMillis()));
    }

    /** Returns what is known of shifts of traffic between versions. */
    public Versions versions() {
        return versions;
    }

    /** Returns how many requests of all entries are at a service's upstreams of other versions. */
    public int outstandingAtOthers(String service, String version) {
        return scheduler(service).outstandingAtOthers(version);
    }

    /** Returns the requests that were running when upstreams died, for the exchange with peers. */
    public SuspectTable suspects() {
        return suspects;
    }

    /** Tells of each death of an upstream from now on, in place of recording it here alone. */
    public void publishSuspects(SuspectPublisher newPublisher) {
        publisher = newPublisher;
    }

    /** Refuses all requests from now on, because this process is about to end; those that run go on. */
    public void refuseNew() {
        refusesNew = true;
    }

    /** Returns an exchange for a request; once begun it ends with exactly one final answer. */
    public Exchange prepare(CallerRequest request, AnswerSink sink) {
        running++;
        return new Exchange(this, request, sink);
    }

    /** Returns the time on the clock of this path. */
    public long millis() {
        return nowMillis();
    }

    /** Counts a connection of a caller that broke. */
    public void countCallerError() {
        count("caller.broken");
    }

    void ended() {
        running--;
    }

    /** Returns what a request may do, or the reason why it is refused. */
    Admission admit(CallerRequest request) {
        if (refusesNew) {
            return new Admission.Refused(ErrorKind.SHUTTING_DOWN, SHUTTING_DOWN_RETRY_MILLIS);
        }
        if (!ready()) {
            return new Admission.Refused(ErrorKind.NOT_READY, NOT_READY_RETRY_MILLIS);
        }
        return admissions.admit(request, deployment.orElseThrow(), nowMillis());
    }

    /** Returns a demand for the first or a further run of a request. */
    Demand demand(CallerRequest request, Admission.Admitted admitted, long answerByMillis) {
        VersionBound bound = versions.bound(admitted.service(), admitted.route().name(), nowMillis());
        return demands.of(request, admitted, answerByMillis, bound);
    }

    void offer(Demand demand, Exchange exchange, String service) {
        waiting.put(demand, exchange);
        scheduler(service).offer(demand);
        decide();
    }

    void withdraw(Demand demand, String service) {
        if (waiting.remove(demand) != null) {
            scheduler(service).withdraw(demand);
        }
    }

    ServiceScheduler scheduler(String service) {
        return schedulers.computeIfAbsent(service, name -> ServiceScheduler.inZone(settings.zone()));
    }

    RetryShare retries(String service) {
        return retries.computeIfAbsent(
                service,
                name -> RetryShare.create(
                        settings.retryRatio(), settings.retryAllowance(), settings.retryWindowMillis()));
    }

    boolean mayRetry(String service) {
        return retries(service).tryAcquire(entries, nowMillis());
    }

    /** Lets the schedulers decide; decisions that an upstream's end makes possible are taken at once. */
    void decide() {
        for (ServiceScheduler scheduler : List.copyOf(schedulers.values())) {
            for (Decision decision : scheduler.decide(nowMillis())) {
                apply(decision);
            }
        }
        boolean anyWaits = schedulers.values().stream().anyMatch(scheduler -> scheduler.waitingCount() > 0);
        if (anyWaits && !decideScheduled) {
            decideScheduled = true;
            loop.schedule(
                    () -> {
                        decideScheduled = false;
                        decide();
                    },
                    DECIDE_PERIOD_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void apply(Decision decision) {
        if (decision instanceof Decision.Place place) {
            waiting.remove(place.demand()).onPlaced(place.upstream());
        } else if (decision instanceof Decision.Refuse refuse) {
            waiting.remove(refuse.demand()).onRefused(refuse.reason());
        }
    }

    /**
     * Looks whether an upstream crashed when the connection of a run broke. Only a crash makes the request suspect:
     * connections also break for other reasons.
     */
    void onBrokenRun(Upstream upstream, long fingerprint) {
        loop.schedule(
                () -> connections.probe(upstream, accepts -> {
                    if (!accepts) {
                        scheduler(upstream.service()).suspend(upstream.id());
                        publisher.publish(fingerprint, upstream.lifetime(), nowMillis());
                        count("upstream.crash_suspected");
                    }
                }),
                CRASH_PROBE_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns when a caller that was refused for lack of room should come back. Its answer will be late in any case, so
     * it comes back as late as callers heed, when a short peak of load has passed; the times are spread.
     */
    long comeBackMillis(long remainingMillis) {
        double spread = LEAST_SPREAD + (1 - LEAST_SPREAD) * random.nextDouble();
        return Math.max(1, (long) (HEEDED_PART * remainingMillis * spread));
    }

    void giveBack(Admission.Admitted admitted) {
        admitted.tenant().ifPresent(tenant -> tenants.giveBack(tenant, admitted.usage()));
    }

    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.elapsedNanos());
    }

    EventLoop loop() {
        return loop;
    }

    HttpDialect dialect() {
        return dialect;
    }

    UpstreamConnections connections() {
        return connections;
    }

    void countWait(long millis) {
        telemetry.time("request.wait_millis", millis);
    }

    void count(String name) {
        telemetry.count(name);
    }

    /** Logs the end of a request with what decided it, and counts its time. */
    void logEnd(String details, long totalMillis) {
        telemetry.time("request.millis", totalMillis);
        telemetry
                .log()
                .info(
                        "request",
                        details + " configuration="
                                + deployment.map(Deployment::version).orElse(0L));
    }

    /** Returns lines that show what this process believes, for a dump. */
    public List<String> describe() {
        List<String> lines = new ArrayList<>();
        lines.add("bounds " + settings);
        lines.add("configuration_version "
                + deployment.map(current -> String.valueOf(current.version())).orElse("none"));
        lines.add("running " + running);
        lines.add("entries " + entries);
        List<SuspectFact> facts = suspects.facts(nowMillis());
        long refused = facts.stream()
                .filter(fact -> suspects.suspicion(fact.fingerprint(), nowMillis()) == Suspicion.REFUSED)
                .count();
        lines.add("suspects " + facts.size() + " refused " + refused);
        schedulers.forEach((service, scheduler) -> {
            lines.add("service " + service + " waiting=" + scheduler.waitingCount());
            scheduler.describe(nowMillis()).forEach(line -> lines.add("upstream " + line));
        });
        lines.addAll(versions.describe(nowMillis()));
        tenants.describe(nowMillis()).forEach(line -> lines.add("tenant " + line));
        return lines;
    }

    /** Records that an upstream died while a request ran there. */
    public interface SuspectPublisher {
        /** Records the death of one lifetime of an upstream. */
        void publish(long fingerprint, String upstreamLifetime, long nowMillis);
    }

    /** What peers have at one upstream, summed over them. */
    public record PeerLoad(String upstreamId, int requests, long tokens) {}
}

package dev.wigeonward.gateway.process;

import java.io.IOException;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import com.codahale.metrics.MetricRegistry;
import dev.wigeonward.common.clock.MonotonicClock;
import dev.wigeonward.core.deployment.CallerLimits;
import dev.wigeonward.core.deployment.RoutingConfiguration;
import dev.wigeonward.gateway.caller.CallerServer;
import dev.wigeonward.gateway.caller.StatusServer;
import dev.wigeonward.gateway.caller.StatusServer.Page;
import dev.wigeonward.gateway.event.EventLog;
import dev.wigeonward.gateway.event.EventLoopDelay;
import dev.wigeonward.gateway.event.LoopLateness;
import dev.wigeonward.gateway.event.Telemetry;
import dev.wigeonward.gateway.exchange.GatewayDispatcher;
import dev.wigeonward.gateway.memory.MemoryBudgets;
import dev.wigeonward.gateway.peer.PeerSync;
import dev.wigeonward.gateway.port.ControllerStore;
import dev.wigeonward.gateway.port.EntryRegistry;
import dev.wigeonward.gateway.port.HeaderCodec;
import dev.wigeonward.gateway.port.SharedStoreView;
import dev.wigeonward.gateway.rollout.ServiceRolloutController;
import dev.wigeonward.gateway.upstream.UpstreamConnectionPool;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;

/** Gateway process: the event loop that owns all state, the servers, and their orderly stop. */
public final class GatewayProcess {
    /**
     * Time for which new connections are accepted after the signal to stop; load balancers need seconds to remove the
     * process.
     */
    private static final long KEEP_ACCEPTING_MILLIS = 2_600;
    /** Part of the grace period after which requests that are still running get their final answer. */
    private static final double REQUESTS_GRACE_PART = 0.92;
    /** Part of the grace period after which the process ends; the time in between is for sending these answers. */
    private static final double MAX_GRACE_PART = 0.95;

    /** Delay before the logging library is loaded, so that it does not delay the first requests. */
    private static final long LOG_DELAY_MILLIS = 1_500;

    private static final long STOP_CHECK_MILLIS = 100;
    /** Interval between checks of the settings file, which may change without a signal. */
    private static final long SETTINGS_PERIOD_MILLIS = 2_000;

    private static final Pattern NUMERIC_ADDRESS = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}");
    /** Value of the setting known_peers if no entry is known. */
    private static final String NO_KNOWN_PEERS = "none";

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final GatewaySettings settings;
    private final MonotonicClock clock = MonotonicClock.start();
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final EventLog log = EventLog.create();
    private final MetricRegistry metrics = new MetricRegistry();
    private final LoopLateness lateness = LoopLateness.start(loop, this::nowMillis);
    private final UpstreamConnectionPool connections = UpstreamConnectionPool.create(loop, this::nowMillis, lateness);
    private final GatewayDispatcher dispatcher;
    private final CallerServer callerServer;
    private Optional<PeerSync> peerSync = Optional.empty();
    private boolean stopping;
    private boolean stopped;

    private GatewayProcess(GatewaySettings settings, HeaderCodec headerCodec) {
        this.settings = settings;
        // The seed need not be unpredictable: only the choice between weighted services and the spread of retry times
        // depend on it.
        Random random = new Random(settings.id().hashCode());
        dispatcher = GatewayDispatcher.create(
                loop,
                clock,
                headerCodec,
                settings.dispatcherSettings(),
                connections,
                new Telemetry(metrics, log),
                MemoryBudgets.ofProcess(),
                random);
        callerServer = CallerServer.create(dispatcher, headerCodec, this::limits, lateness);
        log.register(metrics);
        connections.register(metrics);
    }

    /** Returns a process that is not listening yet. */
    public static GatewayProcess create(GatewaySettings settings, HeaderCodec headerCodec) {
        // Otherwise Netty loads the logging library for its own warnings before any request is served.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        return new GatewayProcess(settings, headerCodec);
    }

    /**
     * Starts the servers. The status server states at {@code readinessPath} whether the process accepts new callers.
     *
     * @throws IOException if an address is in use
     */
    public void listen(String readinessPath) throws IOException {
        callerServer.listen(settings.callerAddress(), loop);
        Map<String, Supplier<Page>> pages = Map.of(
                readinessPath,
                this::readiness,
                "/dump",
                () -> new Page(OK, String.join("\n", dispatcher.dumpLines()) + "\n"),
                "/metrics",
                () -> new Page(OK, MetricsText.of(metrics)));
        StatusServer.listen(settings.statusAddress(), loop, pages);
        log.info("listening", "id=" + settings.id() + " callers=" + settings.callerAddress());
        loop.schedule(log::start, LOG_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        EventLoopDelay.start(loop, dispatcher.telemetry(), this::nowMillis);
    }

    private Page readiness() {
        boolean ready = dispatcher.ready() && !stopping;
        return new Page(ready ? OK : UNAVAILABLE, ready ? "ready\n" : "not ready\n");
    }

    private CallerLimits limits() {
        return dispatcher.configuration().map(RoutingConfiguration::limits).orElse(CallerLimits.DEFAULT);
    }

    /**
     * Starts the synchronization of load, usage and the view of the store with the other entries, and the rollout
     * controller.
     */
    public void startPeerSync(SharedStoreView store, ControllerStore controllerStore, EntryRegistry registry) {
        peerSync = Optional.of(PeerSync.start(
                new PeerSync.LocalEntry(settings.id(), settings.peerAddress(), clock.millis()),
                seeds(settings),
                dispatcher,
                store,
                registry,
                loop,
                this::nowMillis,
                log));
        ServiceRolloutController.start(dispatcher, peerSync.get().facts(), controllerStore, log, settings.id(), loop);
    }

    private Set<String> seeds(GatewaySettings from) {
        Set<String> seeds = new HashSet<>();
        for (String address : from.knownPeers().split("\\s+")) {
            if (NUMERIC_ADDRESS.matcher(address).matches()) {
                seeds.add(address);
            } else if (!address.equals(NO_KNOWN_PEERS)) {
                log.warning("known_peer_passed_over", "address=" + address);
            }
        }
        return seeds;
    }

    /**
     * Reloads the settings on SIGHUP and whenever the file has changed. New bounds and known peers are applied; other
     * changes need a restart. A file that is unreadable or invalid changes nothing.
     */
    public void watchSettings(WatchedSettingsFile settingsFile) {
        ProcessSignals.handle("HUP", () -> loop.execute(() -> reload(settingsFile, "signal")));
        loop.scheduleAtFixedRate(
                dispatcher.telemetry().guard("settings", () -> reload(settingsFile, "change")),
                SETTINGS_PERIOD_MILLIS,
                SETTINGS_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void reload(WatchedSettingsFile settingsFile, String cause) {
        WatchedSettingsFile.Reading reading = settingsFile.read();
        if (reading instanceof WatchedSettingsFile.Reading.Invalid invalid) {
            metrics.counter("settings.passed_over").inc();
            log.warning("settings_passed_over", "cause=" + cause + " reason=" + invalid.reason());
        } else if (reading instanceof WatchedSettingsFile.Reading.Changed changed) {
            GatewaySettings newer = changed.settings();
            dispatcher.updateSettings(newer.dispatcherSettings());
            peerSync.ifPresent(sync -> sync.addSeeds(seeds(newer)));
            boolean restartNeeded = !newer.isReloadableFrom(settings);
            log.info("settings_read", "cause=" + cause + " restart_needed=" + restartNeeded);
        } else if (cause.equals("signal")) {
            log.info("settings_read", "cause=signal unchanged=true");
        }
    }

    /** Returns the event loop that owns all state. */
    public EventLoop loop() {
        return loop;
    }

    /** Returns the dispatcher of this process. */
    public GatewayDispatcher dispatcher() {
        return dispatcher;
    }

    /** Returns the log of the event loop. */
    public EventLog log() {
        return log;
    }

    /** Returns the elapsed time of this process's monotonic clock in milliseconds. */
    public long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.elapsedNanos());
    }

    /** Installs the signal handlers and blocks until the process has stopped. */
    public void awaitStop() {
        CountDownLatch stopped = new CountDownLatch(1);
        handleSignals(stopped::countDown);
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.stop();
    }

    /** Installs the signal handlers. After SIGTERM or SIGINT the process stops and then runs the action. */
    public void handleSignals(Runnable whenStopped) {
        ProcessSignals.handle("TERM", () -> stop(whenStopped));
        ProcessSignals.handle("INT", () -> stop(whenStopped));
    }

    /** Closes all connections and ends the event loop at once. */
    public void close() {
        log.stop();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Stops without breaking running requests, as far as the grace period allows, and then runs the action. */
    public void stop(Runnable whenStopped) {
        loop.execute(() -> {
            if (stopping) {
                return;
            }
            stopping = true;
            log.info("stopping", "running=" + dispatcher.runningCount());
            long startedMillis = nowMillis();
            long requestsMillis = (long) (REQUESTS_GRACE_PART * settings.graceMillis());
            dispatcher.processStop().endAt(startedMillis + requestsMillis);
            loop.schedule(
                    dispatcher.telemetry().guard("end_requests", callerServer::endRequests),
                    requestsMillis,
                    TimeUnit.MILLISECONDS);
            loop.schedule(
                    () -> {
                        dispatcher.processStop().stopAdmission();
                        callerServer.startDraining();
                    },
                    KEEP_ACCEPTING_MILLIS,
                    TimeUnit.MILLISECONDS);
            loop.scheduleAtFixedRate(
                    dispatcher.telemetry().guard("stop", () -> finishStop(startedMillis, whenStopped)),
                    KEEP_ACCEPTING_MILLIS + STOP_CHECK_MILLIS,
                    STOP_CHECK_MILLIS,
                    TimeUnit.MILLISECONDS);
        });
    }

    private void finishStop(long startedMillis, Runnable whenStopped) {
        boolean idle = dispatcher.runningCount() == 0 && callerServer.connectionCount() == 0;
        boolean overdue = nowMillis() - startedMillis > MAX_GRACE_PART * settings.graceMillis();
        if ((idle || overdue) && !stopped) {
            stopped = true;
            log.info("stopped", "running=" + dispatcher.runningCount());
            whenStopped.run();
        }
    }
}

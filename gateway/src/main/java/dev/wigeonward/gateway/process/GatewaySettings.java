package dev.wigeonward.gateway.process;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

import dev.wigeonward.common.settings.SettingKey;
import dev.wigeonward.common.settings.Settings;
import dev.wigeonward.common.settings.SettingsDeclaration;
import dev.wigeonward.core.rollout.ExposureLimit;
import dev.wigeonward.gateway.exchange.PaceSettings;
import dev.wigeonward.gateway.exchange.PathSettings;
import dev.wigeonward.gateway.exchange.SchedulingSettings;

/**
 * Typed settings of one gateway process.
 *
 * @param graceMillis time between the signal to stop and the forced end of the process
 */
public record GatewaySettings(
        String id,
        InetSocketAddress callerAddress,
        InetSocketAddress statusAddress,
        InetSocketAddress peerAddress,
        String knownPeers,
        InetSocketAddress storeAddress,
        long graceMillis,
        PathSettings dispatcherSettings) {
    private static final SettingKey<String> ID = SettingKey.text("gateway", "id", "unique name of this process");
    private static final SettingKey<String> ZONE = SettingKey.text("gateway", "zone", "failure domain of this VM");
    private static final SettingKey<InetSocketAddress> CALLER =
            SettingKey.address("gateway", "caller_address", "address for callers' HTTP requests");
    private static final SettingKey<InetSocketAddress> STATUS =
            SettingKey.address("gateway", "status_address", "address of the readiness, metrics and dump pages");
    private static final SettingKey<InetSocketAddress> PEER =
            SettingKey.address("gateway", "peer_address", "address for the links of other entries");
    private static final SettingKey<String> KNOWN_PEERS = SettingKey.text(
                    "gateway", "known_peers", "link addresses of some entries, separated by spaces; may be out of date")
            .withDefault("none");
    private static final SettingKey<InetSocketAddress> STORE =
            SettingKey.address("store", "address", "HTTP address of the store");
    private static final SettingKey<Double> GRACE = SettingKey.decimal(
                    "gateway", "grace_seconds", 0.001, 86_400, "time between the signal to stop and the forced end")
            .optional();
    private static final SettingKey<Double> RETRY_RATIO = SettingKey.decimal(
                    "budgets", "retry_ratio", 0, 1_000, "retries allowed per request of a service within a window")
            .optional();
    private static final SettingKey<Double> RETRY_ALLOWANCE = SettingKey.decimal(
                    "budgets",
                    "retry_allowance_count",
                    0,
                    1e12,
                    "retries of a service allowed beyond the ratio within a window, by all entries together")
            .optional();
    private static final SettingKey<Double> RETRY_WINDOW = SettingKey.decimal(
                    "budgets", "retry_window_seconds", 0.001, 86_400, "window over which retries are counted")
            .optional();
    private static final SettingKey<Double> CAP_WINDOW = SettingKey.decimal(
                    "budgets",
                    "cap_window_seconds",
                    0.001,
                    86_400,
                    "window over which the overrun of usage caps is measured")
            .optional();

    private static final SettingKey<Double> CAP_OVERRUN = SettingKey.decimal(
                    "budgets",
                    "cap_overrun_ratio",
                    0,
                    1_000,
                    "fraction by which the usage in a window may exceed a cap")
            .optional();
    private static final SettingKey<Double> CAP_MARGIN = SettingKey.decimal(
                    "budgets",
                    "cap_margin_count",
                    0,
                    1e15,
                    "further usage of a tenant allowed in a window beyond the cap and its overrun")
            .optional();

    private static final SettingKey<Double> EXPOSURE_RATIO = SettingKey.decimal(
                    "budgets",
                    "exposure_ratio",
                    0,
                    1,
                    "fraction of a service's requests that a bad version may get between its order and the deadline")
            .optional();
    private static final SettingKey<Double> EXPOSURE_MARGIN = SettingKey.decimal(
                    "budgets",
                    "exposure_margin_count",
                    0,
                    1e12,
                    "further requests that a bad version may get between its order and the deadline")
            .optional();

    private static final SettingKey<Double> CPU_CORES = SettingKey.decimal(
                    "gateway", "cpu_cores", 0.001, 1_024, "processor cores that this process may use")
            .optional();
    private static final SettingKey<Boolean> COORDINATION = SettingKey.flag(
                    "scheduling",
                    "coordination",
                    "whether one entry for each service orders the waiting requests of all entries")
            .optional();
    private static final SettingKey<Boolean> WORKSPACE_SHARES = SettingKey.flag(
                    "scheduling", "workspace_shares", "whether waiting requests go by fair shares of their tenants")
            .withDefault(false);
    private static final SettingKey<Boolean> PLANNED_RETURNS = SettingKey.flag(
                    "scheduling",
                    "planned_returns",
                    "whether refused callers are told times with room for their returns")
            .withDefault(false);
    private static final SettingKey<Double> COLD_OVERRUN = SettingKey.decimal(
                    "budgets",
                    "cold_overrun_ratio",
                    0,
                    1_000,
                    "factor on the requests per second that a cold upstream handles, up to which it may get them")
            .optional();
    private static final SettingKey<Double> COLD_MARGIN = SettingKey.decimal(
                    "budgets",
                    "cold_margin_count",
                    0,
                    1e9,
                    "further requests that a cold upstream may get in a second, from all entries together")
            .optional();
    private static final SettingKey<Boolean> PACE = SettingKey.flag(
                    "scheduling", "pace", "whether started and recovered upstreams get few requests at first")
            .optional();

    /** Grace period that is assumed without a setting; short, so that a stop ends before the process is killed. */
    private static final double DEFAULT_GRACE_SECONDS = 4;
    /** Window that is assumed without a setting; no retry and no overrun is allowed in it. */
    private static final double DEFAULT_WINDOW_SECONDS = 10;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the declaration of all sections and keys. */
    public static SettingsDeclaration declaration() {
        return SettingsDeclaration.of(
                Map.of(
                        "gateway",
                        "This process.",
                        "store",
                        "Store from which configuration and upstreams are read.",
                        "budgets",
                        "Bounds that apply to all entries together.",
                        "scheduling",
                        "How waiting requests are ordered and placed."),
                List.of(
                        ID,
                        ZONE,
                        CALLER,
                        STATUS,
                        PEER,
                        KNOWN_PEERS,
                        GRACE,
                        STORE,
                        RETRY_RATIO,
                        RETRY_ALLOWANCE,
                        RETRY_WINDOW,
                        CAP_WINDOW,
                        CAP_OVERRUN,
                        CAP_MARGIN,
                        EXPOSURE_RATIO,
                        EXPOSURE_MARGIN,
                        CPU_CORES,
                        COORDINATION,
                        WORKSPACE_SHARES,
                        PLANNED_RETURNS,
                        COLD_OVERRUN,
                        COLD_MARGIN,
                        PACE));
    }

    /** Returns the typed settings. A budget of which a part is left out allows no retry or no overrun. */
    public static GatewaySettings of(Settings settings) {
        boolean retries = settings.find(RETRY_WINDOW).isPresent();
        boolean overrun = settings.find(CAP_WINDOW).isPresent();
        return new GatewaySettings(
                settings.get(ID),
                settings.get(CALLER),
                settings.get(STATUS),
                settings.get(PEER),
                settings.get(KNOWN_PEERS),
                settings.get(STORE),
                millis(settings.find(GRACE).orElse(DEFAULT_GRACE_SECONDS)),
                new PathSettings(
                        settings.get(ZONE),
                        retries ? settings.find(RETRY_RATIO).orElse(0.0) : 0,
                        retries ? settings.find(RETRY_ALLOWANCE).orElse(0.0) : 0,
                        millis(settings.find(RETRY_WINDOW).orElse(DEFAULT_WINDOW_SECONDS)),
                        millis(settings.find(CAP_WINDOW).orElse(DEFAULT_WINDOW_SECONDS)),
                        overrun ? settings.find(CAP_OVERRUN).orElse(0.0) : 0,
                        overrun ? settings.find(CAP_MARGIN).orElse(0.0) : 0,
                        new ExposureLimit(
                                settings.find(EXPOSURE_RATIO).orElse(ExposureLimit.DEFAULT.shareRatio()),
                                settings.find(EXPOSURE_MARGIN).orElse(ExposureLimit.DEFAULT.marginRequests())),
                        new SchedulingSettings(
                                settings.find(COORDINATION).orElse(false)
                                        ? settings.find(CPU_CORES).orElse(1.0)
                                        : 0,
                                settings.get(WORKSPACE_SHARES),
                                settings.get(PLANNED_RETURNS),
                                new PaceSettings(
                                        settings.find(PACE).orElse(false),
                                        settings.find(COLD_OVERRUN).orElse(1.0),
                                        settings.find(COLD_MARGIN).orElse(0.0)))));
    }

    private static long millis(double seconds) {
        return Math.max(1, (long) (seconds * MILLIS_PER_SECOND));
    }

    /**
     * Returns whether a process that runs with the other settings can apply these without a restart, that is, whether
     * they differ in bounds and known peers at most.
     */
    boolean isReloadableFrom(GatewaySettings other) {
        return id.equals(other.id)
                && callerAddress.equals(other.callerAddress)
                && statusAddress.equals(other.statusAddress)
                && peerAddress.equals(other.peerAddress)
                && storeAddress.equals(other.storeAddress)
                && graceMillis == other.graceMillis
                && dispatcherSettings.zone().equals(other.dispatcherSettings.zone())
                && dispatcherSettings.scheduling().isReloadableFrom(other.dispatcherSettings.scheduling());
    }
}

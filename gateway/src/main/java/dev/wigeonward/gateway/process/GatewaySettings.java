package dev.wigeonward.gateway.process;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

import dev.wigeonward.common.settings.SettingKey;
import dev.wigeonward.common.settings.Settings;
import dev.wigeonward.common.settings.SettingsDeclaration;
import dev.wigeonward.gateway.exchange.PathSettings;

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
    private static final SettingKey<Long> GRACE = SettingKey.wholeNumber(
            "gateway", "grace_seconds", 1, 86_400, "time between the signal to stop and the forced end");
    private static final SettingKey<Double> RETRY_RATIO = SettingKey.decimal(
            "budgets", "retry_ratio", 0, 10, "retries allowed per request of a service within a window");
    private static final SettingKey<Long> RETRY_ALLOWANCE = SettingKey.wholeNumber(
            "budgets",
            "retry_allowance_count",
            0,
            1_000_000,
            "retries of a service allowed beyond the ratio within a window, by all entries together");
    private static final SettingKey<Long> RETRY_WINDOW = SettingKey.wholeNumber(
            "budgets", "retry_window_seconds", 1, 3_600, "window over which retries are counted");
    private static final SettingKey<Long> CAP_WINDOW = SettingKey.wholeNumber(
            "budgets", "cap_window_seconds", 1, 3_600, "window over which the overrun of usage caps is measured");

    private static final SettingKey<Double> CAP_OVERRUN = SettingKey.decimal(
            "budgets", "cap_overrun_ratio", 0, 10, "fraction by which the usage in a window may exceed a cap");
    private static final SettingKey<Long> CAP_MARGIN = SettingKey.wholeNumber(
            "budgets",
            "cap_margin_count",
            0,
            Long.MAX_VALUE,
            "further usage of a tenant allowed in a window beyond the cap and its overrun");

    /** Returns the declaration of all sections and keys. */
    public static SettingsDeclaration declaration() {
        return SettingsDeclaration.of(
                Map.of(
                        "gateway",
                        "This process.",
                        "store",
                        "Store from which configuration and upstreams are read.",
                        "budgets",
                        "Bounds that apply to all entries together."),
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
                        CAP_MARGIN));
    }

    /** Returns the typed settings. */
    public static GatewaySettings of(Settings settings) {
        return new GatewaySettings(
                settings.get(ID),
                settings.get(CALLER),
                settings.get(STATUS),
                settings.get(PEER),
                settings.get(KNOWN_PEERS),
                settings.get(STORE),
                settings.get(GRACE) * 1_000,
                new PathSettings(
                        settings.get(ZONE),
                        settings.get(RETRY_RATIO),
                        settings.get(RETRY_ALLOWANCE).intValue(),
                        settings.get(RETRY_WINDOW) * 1_000,
                        settings.get(CAP_WINDOW) * 1_000,
                        settings.get(CAP_OVERRUN),
                        settings.get(CAP_MARGIN)));
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
                && dispatcherSettings.zone().equals(other.dispatcherSettings.zone());
    }
}

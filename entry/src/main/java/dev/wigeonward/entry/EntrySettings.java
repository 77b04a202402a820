package dev.wigeonward.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import dev.wigeonward.common.settings.SettingKey;
import dev.wigeonward.common.settings.Settings;
import dev.wigeonward.common.settings.SettingsDeclaration;
import dev.wigeonward.common.store.StoreOptions;
import dev.wigeonward.common.vms.VmListOptions;

/** The settings of the entry process. */
public record EntrySettings(
        String id,
        String failureDomain,
        InetSocketAddress callersAddress,
        InetSocketAddress adminAddress,
        int maxConnections,
        long drainNoticeSeconds,
        long drainLimitSeconds,
        StoreOptions store,
        VmListOptions vmList,
        long seed) {
    private static final SettingKey<String> ID = SettingKey.text("entry", "id", "name of this entry, unique");
    private static final SettingKey<String> FAILURE_DOMAIN =
            SettingKey.text("entry", "failure_domain", "failure domain of this VM");
    private static final SettingKey<InetSocketAddress> CALLERS_ADDRESS =
            SettingKey.address("entry", "callers_address", "address for callers' HTTP requests");
    private static final SettingKey<InetSocketAddress> ADMIN_ADDRESS =
            SettingKey.address("entry", "admin_address", "address of the admin pages");
    private static final SettingKey<Long> MAX_CONNECTIONS = SettingKey.wholeNumber(
                    "entry", "max_connections_count", 1, 1_000_000, "callers' connections; more are refused")
            .withDefault(10_000L);
    private static final SettingKey<Long> DRAIN_NOTICE = SettingKey.wholeNumber(
                    "entry",
                    "drain_notice_seconds",
                    0,
                    600,
                    "time for which the health page fails before requests are refused, for the load balancer to see it")
            .withDefault(2L);
    private static final SettingKey<Long> DRAIN_LIMIT = SettingKey.wholeNumber(
                    "entry", "drain_limit_seconds", 0, 86_400, "longest wait for requests at a graceful shutdown")
            .withDefault(1_800L);
    private static final SettingKey<Long> SEED_COUNT = SettingKey.wholeNumber(
                    "entry", "seed_count", 0, Long.MAX_VALUE, "seed of random choices; 0 takes one from the clock")
            .withDefault(0L);

    /** Returns the declaration of all sections and keys that a settings file of an entry may contain. */
    public static SettingsDeclaration declaration() {
        List<SettingKey<?>> keys = new ArrayList<>(List.of(
                ID,
                FAILURE_DOMAIN,
                CALLERS_ADDRESS,
                ADMIN_ADDRESS,
                MAX_CONNECTIONS,
                DRAIN_NOTICE,
                DRAIN_LIMIT,
                SEED_COUNT));
        keys.addAll(StoreOptions.keysWithRequiredAddress());
        keys.addAll(VmListOptions.keysWithRequiredAddress());
        return SettingsDeclaration.of(
                Map.of(
                        "entry",
                        "This process.",
                        StoreOptions.SECTION,
                        "The platform's key-value service.",
                        VmListOptions.SECTION,
                        "The platform's list of VMs."),
                keys);
    }

    /** Returns the settings of an entry from checked values. */
    public static EntrySettings of(Settings settings) {
        return new EntrySettings(
                settings.get(ID),
                settings.get(FAILURE_DOMAIN),
                settings.get(CALLERS_ADDRESS),
                settings.get(ADMIN_ADDRESS),
                settings.get(MAX_CONNECTIONS).intValue(),
                settings.get(DRAIN_NOTICE),
                settings.get(DRAIN_LIMIT),
                StoreOptions.from(settings).orElseThrow(),
                VmListOptions.from(settings).orElseThrow(),
                settings.get(SEED_COUNT));
    }
}

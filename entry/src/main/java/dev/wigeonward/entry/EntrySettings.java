package dev.wigeonward.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.wigeonward.platform.settings.SettingKey;
import dev.wigeonward.platform.settings.Settings;
import dev.wigeonward.platform.settings.SettingsDeclaration;
import dev.wigeonward.platform.store.StoreOptions;
import dev.wigeonward.platform.vms.VmListOptions;

/** Settings of the entry process. */
public record EntrySettings(
        String id,
        String failureDomain,
        InetSocketAddress callersAddress,
        InetSocketAddress adminAddress,
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
    private static final SettingKey<Long> DRAIN_LIMIT = SettingKey.whole(
                    "entry", "drain_limit_seconds", 0, 86_400, "longest wait for requests at a graceful shutdown")
            .withDefault(1_800L);
    private static final SettingKey<Long> SEED_COUNT = SettingKey.whole(
                    "entry", "seed_count", 0, Long.MAX_VALUE, "seed of random choices; 0 takes one from the clock")
            .withDefault(0L);

    /** Returns the declaration of all sections and keys. */
    public static SettingsDeclaration declaration() {
        List<SettingKey<?>> keys =
                new ArrayList<>(List.of(ID, FAILURE_DOMAIN, CALLERS_ADDRESS, ADMIN_ADDRESS, DRAIN_LIMIT, SEED_COUNT));
        keys.addAll(StoreOptions.keys());
        keys.addAll(VmListOptions.keys());
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

    /**
     * Returns the typed settings.
     *
     * @throws IllegalArgumentException if a section that an entry cannot do without is left out
     */
    public static EntrySettings of(Settings settings) {
        return new EntrySettings(
                settings.get(ID),
                settings.get(FAILURE_DOMAIN),
                settings.get(CALLERS_ADDRESS),
                settings.get(ADMIN_ADDRESS),
                settings.get(DRAIN_LIMIT),
                required(StoreOptions.from(settings), StoreOptions.SECTION),
                required(VmListOptions.from(settings), VmListOptions.SECTION),
                settings.get(SEED_COUNT));
    }

    private static <T> T required(Optional<T> options, String section) {
        return options.orElseThrow(
                () -> new IllegalArgumentException("[" + section + "] address: is missing; expected HOST:PORT"));
    }
}

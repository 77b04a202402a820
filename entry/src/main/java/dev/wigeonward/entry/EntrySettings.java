package dev.wigeonward.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.base.Splitter;
import com.google.common.net.HostAndPort;
import dev.wigeonward.platform.settings.SettingKey;
import dev.wigeonward.platform.settings.Settings;
import dev.wigeonward.platform.settings.SettingsDeclaration;

/** Settings of the entry process. */
public record EntrySettings(
        String id,
        String failureDomain,
        InetSocketAddress callersAddress,
        InetSocketAddress adminAddress,
        long drainLimitSeconds,
        List<InetSocketAddress> agents,
        Optional<InetSocketAddress> store,
        Optional<InetSocketAddress> vmList,
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
    private static final SettingKey<String> AGENTS = SettingKey.text(
                    "agents", "addresses", "agents linked to besides those of the VM list, separated by spaces")
            .optional();
    private static final SettingKey<InetSocketAddress> STORE =
            SettingKey.address("platform", "store_address", "key-value service").optional();
    private static final SettingKey<InetSocketAddress> VM_LIST =
            SettingKey.address("platform", "vm_list_address", "list of VMs").optional();

    /** Returns the declaration of all sections and keys. */
    public static SettingsDeclaration declaration() {
        return SettingsDeclaration.of(
                Map.of(
                        "entry", "This process.",
                        "agents", "Agents with fixed addresses.",
                        "platform", "Services of the platform."),
                List.of(
                        ID,
                        FAILURE_DOMAIN,
                        CALLERS_ADDRESS,
                        ADMIN_ADDRESS,
                        DRAIN_LIMIT,
                        SEED_COUNT,
                        AGENTS,
                        STORE,
                        VM_LIST));
    }

    /** Returns the typed settings. */
    public static EntrySettings of(Settings settings) {
        return new EntrySettings(
                settings.get(ID),
                settings.get(FAILURE_DOMAIN),
                settings.get(CALLERS_ADDRESS),
                settings.get(ADMIN_ADDRESS),
                settings.get(DRAIN_LIMIT),
                settings.find(AGENTS).map(EntrySettings::addresses).orElse(List.of()),
                settings.find(STORE),
                settings.find(VM_LIST),
                settings.get(SEED_COUNT));
    }

    private static List<InetSocketAddress> addresses(String text) {
        return Splitter.on(' ')
                .omitEmptyStrings()
                .splitToStream(text)
                .map(HostAndPort::fromString)
                .map(address -> new InetSocketAddress(address.getHost(), address.getPort()))
                .toList();
    }
}

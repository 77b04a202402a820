package dev.wigeonward.agent;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import dev.wigeonward.common.settings.SettingKey;
import dev.wigeonward.common.settings.Settings;
import dev.wigeonward.common.settings.SettingsDeclaration;
import dev.wigeonward.common.store.StoreOptions;
import dev.wigeonward.core.request.EngineSpeed;

/** The settings of the agent process. */
public record AgentSettings(
        String id,
        String failureDomain,
        InetSocketAddress linkAddress,
        InetSocketAddress adminAddress,
        long drainLimitSeconds,
        boolean engine,
        InetSocketAddress upstreamAddress,
        String target,
        String version,
        int slots,
        EngineSpeed speed,
        int queueCapacity,
        long shortRequestMillis,
        long workPerSlotMillis,
        Optional<StoreOptions> store) {
    private static final String ENGINE = "engine";
    private static final SettingKey<String> ID =
            SettingKey.text("agent", "id", "name of this agent and its upstream, unique");
    private static final SettingKey<String> FAILURE_DOMAIN =
            SettingKey.text("agent", "failure_domain", "failure domain of this VM");
    private static final SettingKey<InetSocketAddress> LINK_ADDRESS =
            SettingKey.address("agent", "link_address", "address for the links of entries");
    private static final SettingKey<InetSocketAddress> ADMIN_ADDRESS =
            SettingKey.address("agent", "admin_address", "address of the admin pages");
    private static final SettingKey<Long> DRAIN_LIMIT = SettingKey.wholeNumber(
                    "agent", "drain_limit_seconds", 0, 86_400, "longest wait for requests at a graceful shutdown")
            .withDefault(1_800L);
    private static final SettingKey<Long> QUEUE_CAPACITY = SettingKey.wholeNumber(
                    "agent", "queue_capacity_count", 1, 100_000, "requests that wait in front of the upstream")
            .withDefault(256L);
    private static final SettingKey<String> KIND =
            SettingKey.choice("upstream", "kind", Set.of(ENGINE, "service"), "model engine or plain service");
    private static final SettingKey<InetSocketAddress> UPSTREAM_ADDRESS =
            SettingKey.address("upstream", "address", "HTTP address of the upstream");
    private static final SettingKey<String> TARGET =
            SettingKey.text("upstream", "target", "model or service, as the rules name it");
    private static final SettingKey<String> VERSION =
            SettingKey.text("upstream", "version", "version of the back end").withDefault("v1");
    private static final SettingKey<Long> SLOTS =
            SettingKey.wholeNumber("upstream", "slots_count", 1, 4_096, "requests that the upstream runs at once");
    private static final SettingKey<Long> PREFILL = SettingKey.wholeNumber(
                    "upstream", "prefill_tokens_per_second", 1, 10_000_000, "prompt tokens of one stream")
            .withDefault(10_000L);
    private static final SettingKey<Long> DECODE = SettingKey.wholeNumber(
                    "upstream", "decode_tokens_per_second", 1, 1_000_000, "generated tokens of one stream")
            .withDefault(100L);
    private static final SettingKey<Long> SHORT_REQUEST = SettingKey.wholeNumber(
                    "upstream",
                    "short_request_millis",
                    0,
                    3_600_000,
                    "estimated service time up to which a request may use the slots kept for short ones")
            .withDefault(2_000L);
    private static final SettingKey<Long> WORK_PER_SLOT = SettingKey.wholeNumber(
                    "upstream",
                    "work_per_slot_millis",
                    1,
                    86_400_000,
                    "estimated work in the engine for each slot above which it gets no more")
            .withDefault(60_000L);

    /** Returns the declaration of all sections and keys that a settings file of an agent may contain. */
    public static SettingsDeclaration declaration() {
        List<SettingKey<?>> keys = new ArrayList<>(List.of(
                ID,
                FAILURE_DOMAIN,
                LINK_ADDRESS,
                ADMIN_ADDRESS,
                DRAIN_LIMIT,
                QUEUE_CAPACITY,
                KIND,
                UPSTREAM_ADDRESS,
                TARGET,
                VERSION,
                SLOTS,
                PREFILL,
                DECODE,
                SHORT_REQUEST,
                WORK_PER_SLOT));
        keys.addAll(StoreOptions.keys());
        return SettingsDeclaration.of(
                Map.of(
                        "agent",
                        "This process.",
                        "upstream",
                        "The upstream beside this process.",
                        StoreOptions.SECTION,
                        "The key-value service, read once after a restart before an order."),
                keys);
    }

    /** Returns the settings of an agent from checked values. */
    public static AgentSettings of(Settings settings) {
        return new AgentSettings(
                settings.get(ID),
                settings.get(FAILURE_DOMAIN),
                settings.get(LINK_ADDRESS),
                settings.get(ADMIN_ADDRESS),
                settings.get(DRAIN_LIMIT),
                settings.get(KIND).equals(ENGINE),
                settings.get(UPSTREAM_ADDRESS),
                settings.get(TARGET),
                settings.get(VERSION),
                settings.get(SLOTS).intValue(),
                new EngineSpeed(
                        settings.get(PREFILL).intValue(), settings.get(DECODE).intValue()),
                settings.get(QUEUE_CAPACITY).intValue(),
                settings.get(SHORT_REQUEST),
                settings.get(WORK_PER_SLOT),
                StoreOptions.from(settings));
    }
}

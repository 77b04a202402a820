package dev.wigeonward.common.vms;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.google.common.base.Preconditions;
import dev.wigeonward.common.settings.SettingKey;
import dev.wigeonward.common.settings.Settings;

/** How a process reads the list of VMs. */
public record VmListOptions(InetSocketAddress address, long pollMillis, long callTimeoutMillis) {
    /** The settings section of the list. */
    public static final String SECTION = "vms";

    /** Numeric address of the list. */
    public static final SettingKey<InetSocketAddress> ADDRESS =
            SettingKey.address(SECTION, "address", "address of the list of VMs").optional();

    /** Mean time between polls. */
    public static final SettingKey<Long> POLL = SettingKey.whole(
                    SECTION, "poll_millis", 10, 3_600_000, "mean time between polls, varied by half of it")
            .withDefault(2_000L);

    /** Time until a poll counts as unanswered. */
    public static final SettingKey<Long> CALL_TIMEOUT = SettingKey.whole(
                    SECTION, "call_timeout_millis", 10, 60_000, "time until a poll counts as unanswered")
            .withDefault(1_000L);

    public VmListOptions {
        Objects.requireNonNull(address, "address");
        Preconditions.checkArgument(pollMillis > 0, "poll interval is %s ms", pollMillis);
        Preconditions.checkArgument(callTimeoutMillis > 0, "call timeout is %s ms", callTimeoutMillis);
    }

    /** Returns the keys of the section, for the declaration of a process. */
    public static List<SettingKey<?>> keys() {
        return List.of(ADDRESS, POLL, CALL_TIMEOUT);
    }

    /** Returns the options of a list with all defaults. */
    public static VmListOptions defaults(InetSocketAddress address) {
        return new VmListOptions(
                address,
                POLL.defaultValue().orElseThrow(),
                CALL_TIMEOUT.defaultValue().orElseThrow());
    }

    /** Returns the keys of the section, for a process that cannot do without the list. */
    public static List<SettingKey<?>> mandatoryKeys() {
        return List.of(ADDRESS.mandatory(), POLL, CALL_TIMEOUT);
    }

    /** Returns the options that a settings file gives, or empty without an address. */
    public static Optional<VmListOptions> from(Settings settings) {
        return settings.find(ADDRESS)
                .or(() -> settings.find(ADDRESS.mandatory()))
                .map(address -> new VmListOptions(address, settings.get(POLL), settings.get(CALL_TIMEOUT)));
    }
}

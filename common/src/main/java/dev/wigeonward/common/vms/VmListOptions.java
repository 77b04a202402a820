package dev.wigeonward.common.vms;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.google.common.base.Preconditions;
import dev.wigeonward.common.settings.SettingKey;
import dev.wigeonward.common.settings.Settings;

/** Options for reading the list of VMs. */
public record VmListOptions(InetSocketAddress address, long pollMillis, long callTimeoutMillis) {
    /** Name of the settings section of the list. */
    public static final String SECTION = "vms";

    /** Numeric address of the service that serves the list. */
    public static final SettingKey<InetSocketAddress> ADDRESS =
            SettingKey.address(SECTION, "address", "address of the list of VMs").optional();

    /** Mean time between polls; the actual time varies by half of it. */
    public static final SettingKey<Long> POLL = SettingKey.wholeNumber(
                    SECTION, "poll_millis", 10, 3_600_000, "mean time between polls, varied by half of it")
            .withDefault(2_000L);

    /** Time after which a poll counts as unanswered. */
    public static final SettingKey<Long> CALL_TIMEOUT = SettingKey.wholeNumber(
                    SECTION, "call_timeout_millis", 10, 60_000, "time until a poll counts as unanswered")
            .withDefault(1_000L);

    public VmListOptions {
        Objects.requireNonNull(address, "address");
        Preconditions.checkArgument(pollMillis > 0, "pollMillis is %s, expected more than 0", pollMillis);
        Preconditions.checkArgument(
                callTimeoutMillis > 0, "callTimeoutMillis is %s, expected more than 0", callTimeoutMillis);
    }

    /** Returns the keys of the section, for the settings declaration of a process that can run without the list. */
    public static List<SettingKey<?>> keys() {
        return List.of(ADDRESS, POLL, CALL_TIMEOUT);
    }

    /** Returns the default options for a list at an address. */
    public static VmListOptions defaults(InetSocketAddress address) {
        return new VmListOptions(
                address,
                POLL.defaultValue().orElseThrow(),
                CALL_TIMEOUT.defaultValue().orElseThrow());
    }

    /** Returns the keys of the section with a mandatory address, for a process that requires the list. */
    public static List<SettingKey<?>> keysWithRequiredAddress() {
        return List.of(ADDRESS.mandatory(), POLL, CALL_TIMEOUT);
    }

    /** Returns the options in a settings file, or empty if the file has no address of the list. */
    public static Optional<VmListOptions> from(Settings settings) {
        return settings.find(ADDRESS)
                .or(() -> settings.find(ADDRESS.mandatory()))
                .map(address -> new VmListOptions(address, settings.get(POLL), settings.get(CALL_TIMEOUT)));
    }
}

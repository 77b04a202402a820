package dev.wigeonward.common.store;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.google.common.base.Preconditions;
import dev.wigeonward.common.settings.SettingKey;
import dev.wigeonward.common.settings.Settings;

/**
 * Options for the use of the key-value service by a process.
 *
 * @param watchIdleMillis time without any message after which a watch is opened again, as a broken connection cannot be
 *     told from a store without changes
 * @param maxCallsInFlight most calls that may be unanswered at the same time; watches are not counted
 */
public record StoreOptions(
        InetSocketAddress address,
        long callTimeoutMillis,
        long watchIdleMillis,
        int maxCallsInFlight,
        double readsPerSecond,
        double writesPerSecond) {
    /** Name of the settings section of the store. */
    public static final String SECTION = "store";

    /** Numeric address of the key-value service. */
    public static final SettingKey<InetSocketAddress> ADDRESS = SettingKey.address(
                    SECTION, "address", "address of the key-value service")
            .optional();

    /** Time after which a call counts as unanswered. */
    public static final SettingKey<Long> CALL_TIMEOUT = SettingKey.wholeNumber(
                    SECTION, "call_timeout_millis", 10, 60_000, "time until a call counts as unanswered")
            .withDefault(500L);

    /** Time after which a silent watch is opened again. */
    public static final SettingKey<Long> WATCH_IDLE = SettingKey.wholeNumber(
                    SECTION, "watch_idle_millis", 100, 600_000, "time after which a silent watch is opened again")
            .withDefault(4_000L);

    /** Most calls that may be unanswered at the same time. */
    public static final SettingKey<Long> CALLS_IN_FLIGHT = SettingKey.wholeNumber(
                    SECTION, "calls_in_flight_count", 1, 1_000, "most calls without an answer; more are refused")
            .withDefault(16L);

    /** Budget of reads, including watches. */
    public static final SettingKey<Double> READS = SettingKey.decimal(
                    SECTION, "reads_per_second", 0.01, 100_000, "budget of reads; more are refused")
            .withDefault(20.0);

    /** Budget of writes. */
    public static final SettingKey<Double> WRITES = SettingKey.decimal(
                    SECTION, "writes_per_second", 0.01, 100_000, "budget of writes; more are refused")
            .withDefault(20.0);

    public StoreOptions {
        Objects.requireNonNull(address, "address");
        Preconditions.checkArgument(
                callTimeoutMillis > 0, "callTimeoutMillis is %s, expected more than 0", callTimeoutMillis);
        Preconditions.checkArgument(
                watchIdleMillis > 0, "watchIdleMillis is %s, expected more than 0", watchIdleMillis);
        Preconditions.checkArgument(
                maxCallsInFlight > 0, "maxCallsInFlight is %s, expected more than 0", maxCallsInFlight);
        Preconditions.checkArgument(readsPerSecond > 0, "readsPerSecond is %s, expected more than 0", readsPerSecond);
        Preconditions.checkArgument(
                writesPerSecond > 0, "writesPerSecond is %s, expected more than 0", writesPerSecond);
    }

    /** Returns the keys of the section, for the settings declaration of a process that can run without the service. */
    public static List<SettingKey<?>> keys() {
        return List.of(ADDRESS, CALL_TIMEOUT, WATCH_IDLE, CALLS_IN_FLIGHT, READS, WRITES);
    }

    /** Returns the default options for a service at an address. */
    public static StoreOptions defaults(InetSocketAddress address) {
        return new StoreOptions(
                address,
                CALL_TIMEOUT.defaultValue().orElseThrow(),
                WATCH_IDLE.defaultValue().orElseThrow(),
                Math.toIntExact(CALLS_IN_FLIGHT.defaultValue().orElseThrow()),
                READS.defaultValue().orElseThrow(),
                WRITES.defaultValue().orElseThrow());
    }

    /** Returns the keys of the section with a mandatory address, for a process that requires the service. */
    public static List<SettingKey<?>> keysWithRequiredAddress() {
        return List.of(ADDRESS.mandatory(), CALL_TIMEOUT, WATCH_IDLE, CALLS_IN_FLIGHT, READS, WRITES);
    }

    /** Returns the options in a settings file, or empty if the file has no address of the service. */
    public static Optional<StoreOptions> from(Settings settings) {
        return settings.find(ADDRESS)
                .or(() -> settings.find(ADDRESS.mandatory()))
                .map(address -> new StoreOptions(
                        address,
                        settings.get(CALL_TIMEOUT),
                        settings.get(WATCH_IDLE),
                        Math.toIntExact(settings.get(CALLS_IN_FLIGHT)),
                        settings.get(READS),
                        settings.get(WRITES)));
    }
}

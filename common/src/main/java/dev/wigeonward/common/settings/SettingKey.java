package dev.wigeonward.common.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.common.base.Preconditions;

/**
 * Declaration of one setting. The name of a quantity ends in its unit, for example {@code drain_limit_seconds}.
 *
 * @param defaultValue empty for a required setting, and for one that may be left out and has no default
 */
public record SettingKey<T>(
        String section,
        String name,
        SettingType<T> type,
        Optional<T> defaultValue,
        boolean required,
        String description) {
    private static final List<String> UNITS = List.of(
            "_seconds",
            "_millis",
            "_micros",
            "_bytes",
            "_count",
            "_percent",
            "_per_second",
            "_ratio",
            "_tokens",
            "_cores",
            "_hours",
            "_minutes");

    public SettingKey {
        Preconditions.checkArgument(
                section.matches("[a-z][a-z0-9_]*"), "section is '%s', expected [a-z][a-z0-9_]*", section);
        Preconditions.checkArgument(name.matches("[a-z][a-z0-9_]*"), "key is '%s', expected [a-z][a-z0-9_]*", name);
        Preconditions.checkArgument(!description.isBlank(), "[%s] %s has no description", section, name);
        Preconditions.checkArgument(
                !type.isQuantity() || UNITS.stream().anyMatch(name::endsWith), "%s does not end in a unit", name);
        Preconditions.checkArgument(
                !(required && defaultValue.isPresent()), "[%s] %s is required and has a default", section, name);
        Preconditions.checkArgument(
                defaultValue.map(type::format).flatMap(type::parse).isPresent() || defaultValue.isEmpty(),
                "default of setting %s is invalid, expected %s",
                name,
                type.expected());
    }

    /** Returns a required setting of a text that is not empty. */
    public static SettingKey<String> text(String section, String name, String description) {
        return required(section, name, new SettingTypes.Text("a text"), description);
    }

    /** Returns a required setting of a whole number in a range, both ends included. */
    public static SettingKey<Long> wholeNumber(
            String section, String name, long minimum, long maximum, String description) {
        return required(section, name, new SettingTypes.Whole(minimum, maximum), description);
    }

    /** Returns a required setting of a number in a range, both ends included. */
    public static SettingKey<Double> decimal(
            String section, String name, double minimum, double maximum, String description) {
        return required(section, name, new SettingTypes.Decimal(minimum, maximum), description);
    }

    /** Returns a required setting of true or false. */
    public static SettingKey<Boolean> flag(String section, String name, String description) {
        return required(section, name, new SettingTypes.Flag(), description);
    }

    /** Returns a required setting of one of the given lower-case words. */
    public static SettingKey<String> choice(String section, String name, Set<String> values, String description) {
        return required(section, name, new SettingTypes.Choice(values), description);
    }

    /** Returns a required setting of a numeric IP address with a port. */
    public static SettingKey<InetSocketAddress> address(String section, String name, String description) {
        return required(section, name, new SettingTypes.Address(), description);
    }

    private static <T> SettingKey<T> required(String section, String name, SettingType<T> type, String description) {
        return new SettingKey<>(section, name, type, Optional.empty(), true, description);
    }

    /** Returns the same setting with a default. */
    public SettingKey<T> withDefault(T value) {
        return new SettingKey<>(section, name, type, Optional.of(value), false, description);
    }

    /** Returns the same setting as one that may be left out, without a default. */
    public SettingKey<T> optional() {
        return new SettingKey<>(section, name, type, Optional.empty(), false, description);
    }

    /** Returns the same setting as a required one, without a default. */
    public SettingKey<T> mandatory() {
        return new SettingKey<>(section, name, type, Optional.empty(), true, description);
    }

    /** Returns the section in brackets and the name, which together identify the setting. */
    String label() {
        return "[" + section + "] " + name;
    }
}

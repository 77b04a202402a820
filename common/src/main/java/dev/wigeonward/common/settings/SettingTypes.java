package dev.wigeonward.common.settings;

import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import com.google.common.base.Preconditions;
import com.google.common.primitives.Longs;

/** Implementations of the setting types. */
final class SettingTypes {
    private SettingTypes() {}

    /** Type of texts that are not empty. */
    record Text(String expected) implements SettingType<String> {
        @Override
        public Optional<String> parse(String text) {
            return text.isEmpty() ? Optional.empty() : Optional.of(text);
        }
    }

    /** Type of whole numbers in a range, both ends included. */
    record Whole(long minimum, long maximum) implements SettingType<Long> {
        Whole {
            Preconditions.checkArgument(
                    minimum <= maximum, "range is %s to %s, expected minimum <= maximum", minimum, maximum);
        }

        @Override
        public Optional<Long> parse(String text) {
            return Optional.ofNullable(Longs.tryParse(text)).filter(value -> value >= minimum && value <= maximum);
        }

        @Override
        public String expected() {
            return "a whole number from " + minimum + " to " + maximum;
        }

        @Override
        public boolean isQuantity() {
            return true;
        }
    }

    /** Type of decimal numbers in a range, both ends included. */
    record Decimal(double minimum, double maximum) implements SettingType<Double> {
        Decimal {
            Preconditions.checkArgument(
                    minimum <= maximum, "range is %s to %s, expected minimum <= maximum", minimum, maximum);
        }

        @Override
        public Optional<Double> parse(String text) {
            try {
                return Optional.of(Double.parseDouble(text)).filter(value -> value >= minimum && value <= maximum);
            } catch (NumberFormatException e) {
                return Optional.empty();
            }
        }

        @Override
        public String expected() {
            return "a number from " + minimum + " to " + maximum;
        }

        @Override
        public boolean isQuantity() {
            return true;
        }
    }

    /** Type of true or false. */
    record Flag() implements SettingType<Boolean> {
        @Override
        public Optional<Boolean> parse(String text) {
            return switch (text) {
                case "true" -> Optional.of(Boolean.TRUE);
                case "false" -> Optional.of(Boolean.FALSE);
                default -> Optional.empty();
            };
        }

        @Override
        public String expected() {
            return "true or false";
        }
    }

    /** Type of one of several lower-case words; upper-case letters in the text are accepted. */
    record Choice(Set<String> values) implements SettingType<String> {
        Choice {
            values = Set.copyOf(values);
        }

        @Override
        public Optional<String> parse(String text) {
            return Optional.of(text.toLowerCase(Locale.ROOT)).filter(values::contains);
        }

        @Override
        public String expected() {
            return "one of " + String.join(", ", new TreeSet<>(values));
        }
    }

    /** Type of numeric addresses; host names are not allowed, so that no process depends on name resolution. */
    record Address() implements SettingType<InetSocketAddress> {
        @Override
        public Optional<InetSocketAddress> parse(String text) {
            return NumericAddress.parse(text);
        }

        @Override
        public String expected() {
            return "a numeric IP address and port, for example 127.0.0.1:7000 or [::1]:7000";
        }

        @Override
        public String format(InetSocketAddress value) {
            return NumericAddress.format(value);
        }
    }
}

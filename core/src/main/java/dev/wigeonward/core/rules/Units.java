package dev.wigeonward.core.rules;

import java.math.BigDecimal;
import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parsers of numbers with units. Each returns empty if the text is malformed or the value exceeds a {@code long}. */
final class Units {
    private static final Pattern NUMBER_WITH_UNIT = Pattern.compile("(\\d{1,15})([A-Za-z]+)");
    private static final Pattern COUNT = Pattern.compile("\\d{1,15}");
    private static final Pattern RATE = Pattern.compile("(\\d{1,15})/s");
    private static final Pattern PERCENTAGE = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,2})?)%");
    private static final Pattern MONEY = Pattern.compile("\\d{1,12}(?:\\.\\d{1,6})?");
    private static final int BASIS_POINTS_DECIMALS = 2;
    private static final int MICROS_DECIMALS = 6;
    private static final Map<String, Long> MILLIS_BY_UNIT =
            Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L);
    private static final Map<String, Long> BYTES_BY_UNIT = Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20);

    private Units() {}

    /** Returns a duration such as {@code 90s} in milliseconds. */
    static OptionalLong millis(String text) {
        return withUnit(text, MILLIS_BY_UNIT);
    }

    /** Returns a size such as {@code 64KiB} in bytes. */
    static OptionalLong bytes(String text) {
        return withUnit(text, BYTES_BY_UNIT);
    }

    /** Returns an integer without a unit. */
    static OptionalLong count(String text) {
        return COUNT.matcher(text).matches() ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }

    /** Returns a rate such as {@code 50/s} per second. */
    static OptionalLong perSecond(String text) {
        Matcher matcher = RATE.matcher(text);
        return matcher.matches() ? OptionalLong.of(Long.parseLong(matcher.group(1))) : OptionalLong.empty();
    }

    /** Returns a percentage such as {@code 1.5%} in hundredths of a percent. */
    static OptionalLong basisPoints(String text) {
        Matcher matcher = PERCENTAGE.matcher(text);
        return matcher.matches() ? scaled(matcher.group(1), BASIS_POINTS_DECIMALS) : OptionalLong.empty();
    }

    /** Returns an amount such as {@code 0.45} in millionths. */
    static OptionalLong micros(String text) {
        return MONEY.matcher(text).matches() ? scaled(text, MICROS_DECIMALS) : OptionalLong.empty();
    }

    private static OptionalLong withUnit(String text, Map<String, Long> factors) {
        Matcher matcher = NUMBER_WITH_UNIT.matcher(text);
        if (!matcher.matches() || !factors.containsKey(matcher.group(2))) {
            return OptionalLong.empty();
        }
        long number = Long.parseLong(matcher.group(1));
        long factor = factors.get(matcher.group(2));
        return number > Long.MAX_VALUE / factor ? OptionalLong.empty() : OptionalLong.of(number * factor);
    }

    private static OptionalLong scaled(String text, int decimals) {
        return OptionalLong.of(new BigDecimal(text).movePointRight(decimals).longValueExact());
    }
}

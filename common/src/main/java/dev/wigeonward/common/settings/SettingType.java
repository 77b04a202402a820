package dev.wigeonward.common.settings;

import java.util.Optional;

/** How the text of a setting becomes a value. */
interface SettingType<T> {
    /** Returns the value, or empty when the text has another form or the value is out of range. */
    Optional<T> parse(String text);

    /** Returns what a valid text looks like, for messages and the documented example. */
    String expected();

    /** Returns the text of a value, as in the settings file. */
    default String format(T value) {
        return value.toString();
    }

    /** Returns whether the value is a quantity, whose key must name its unit. */
    default boolean isQuantity() {
        return false;
    }
}

package dev.wigeonward.common.settings;

import java.util.Optional;

/** Type of a setting, which parses and formats its values. */
interface SettingType<T> {
    /** Returns the parsed value, or empty if the text is malformed or the value is out of range. */
    Optional<T> parse(String text);

    /** Returns a description of valid values, for messages and the documented example. */
    String expected();

    /** Returns the text of a value as it is written in a settings file. */
    default String format(T value) {
        return value.toString();
    }

    /** Returns whether values are quantities; the key of a quantity must end in its unit. */
    default boolean isQuantity() {
        return false;
    }
}

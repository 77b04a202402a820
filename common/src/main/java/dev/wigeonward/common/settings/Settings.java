package dev.wigeonward.common.settings;

import java.util.Map;
import java.util.Optional;

/** Checked values of a settings file. Immutable. */
public final class Settings {
    /** Values by label; hashing the key records would add tens of milliseconds of linking to each start. */
    private final Map<String, Object> values;

    Settings(Map<String, Object> values) {
        this.values = Map.copyOf(values);
    }

    /** Returns the value of a setting that is required or has a default. */
    public <T> T get(SettingKey<T> key) {
        return find(key).orElseThrow(() -> new IllegalArgumentException("setting " + key.label() + " has no value"));
    }

    /** Returns the value of a setting, or empty if it was left out and has no default. */
    @SuppressWarnings("unchecked")
    public <T> Optional<T> find(SettingKey<T> key) {
        Object value = values.get(key.label());
        return Optional.ofNullable((T) value);
    }
}

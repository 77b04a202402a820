package dev.wigeonward.common.settings;

import java.util.Map;
import java.util.Optional;

/** Checked values of a settings file; immutable. */
public final class Settings {
    /** By label: hashing the keys themselves would cost each start tens of milliseconds for linking. */
    private final Map<String, Object> values;

    Settings(Map<String, Object> values) {
        this.values = Map.copyOf(values);
    }

    /** Returns the value of a required setting, or of one with a default. */
    public <T> T get(SettingKey<T> key) {
        return find(key).orElseThrow(() -> new IllegalArgumentException(key.label() + " has no value"));
    }

    /** Returns the value of a setting that may be left out. */
    @SuppressWarnings("unchecked")
    public <T> Optional<T> find(SettingKey<T> key) {
        Object value = values.get(key.label());
        return Optional.ofNullable((T) value);
    }
}

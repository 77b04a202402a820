package dev.wigeonward.common.settings;

/** Problem of a settings file. */
public record SettingsProblem(String file, String section, String key, String problem, String expected) {
    /** Returns {@code file: [section] key: what is wrong; expected …}. */
    @Override
    public String toString() {
        String place = key.isEmpty() ? "[" + section + "]" : "[" + section + "] " + key;
        return file + ": " + place + ": " + problem + "; expected " + expected;
    }
}

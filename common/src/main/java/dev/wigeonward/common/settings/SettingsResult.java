package dev.wigeonward.common.settings;

import java.util.List;

import com.google.common.base.Preconditions;

/** Result of checking a settings file. */
public sealed interface SettingsResult {
    /** The file is valid. */
    record Valid(Settings settings) implements SettingsResult {}

    /** The file is invalid and none of its settings is used; lists all problems. */
    record Invalid(List<SettingsProblem> problems) implements SettingsResult {
        public Invalid {
            problems = List.copyOf(problems);
            Preconditions.checkArgument(!problems.isEmpty(), "problems are empty, expected at least one");
        }
    }
}

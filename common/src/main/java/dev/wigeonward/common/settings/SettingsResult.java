package dev.wigeonward.common.settings;

import java.util.List;

import com.google.common.base.Preconditions;

/** Result of checking a settings file. */
public sealed interface SettingsResult {
    /**
     * The file is valid.
     *
     * @param passedOver problems of optional settings that are treated as left out
     */
    record Valid(Settings settings, List<SettingsProblem> passedOver) implements SettingsResult {
        public Valid {
            passedOver = List.copyOf(passedOver);
        }
    }

    /** The file is invalid and none of its settings is used; lists all problems. */
    record Invalid(List<SettingsProblem> problems) implements SettingsResult {
        public Invalid {
            problems = List.copyOf(problems);
            Preconditions.checkArgument(!problems.isEmpty(), "problems are empty, expected at least one");
        }
    }
}

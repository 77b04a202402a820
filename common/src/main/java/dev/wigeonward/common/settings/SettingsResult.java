package dev.wigeonward.common.settings;

import java.util.List;

import com.google.common.base.Preconditions;

/** Result of checking a settings file. */
public sealed interface SettingsResult {
    /** The file is valid. */
    record Valid(Settings settings) implements SettingsResult {}

    /** The file is refused as a whole; all problems are listed. */
    record Invalid(List<SettingsProblem> problems) implements SettingsResult {
        public Invalid {
            problems = List.copyOf(problems);
            Preconditions.checkArgument(!problems.isEmpty(), "no problem is given");
        }
    }
}

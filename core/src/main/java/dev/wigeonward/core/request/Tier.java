package dev.wigeonward.core.request;

import java.util.Locale;
import java.util.Optional;

/** Importance of a request, highest first; requests of a tier are never shed before those of a lower tier. */
public enum Tier {
    CRITICAL,
    STANDARD,
    BATCH;

    /** Returns the tier with the given lower-case name, or empty if there is none. */
    public static Optional<Tier> fromName(String name) {
        for (Tier tier : values()) {
            if (tier.lowerCaseName().equals(name)) {
                return Optional.of(tier);
            }
        }
        return Optional.empty();
    }

    /** Returns whether this tier is more important than the other one. */
    public boolean isAbove(Tier other) {
        return ordinal() < other.ordinal();
    }

    /** Returns the name used in rules, headers and reports. */
    public String lowerCaseName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

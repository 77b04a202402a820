package dev.wigeonward.core.error;

import java.util.Locale;

/** What is known about whether a request ran at an upstream. */
public enum RunState {
    /** Provably never handed to an upstream. */
    NOT_RUN,
    /** Handed over, and nothing proves whether it ran to its end. */
    UNKNOWN,
    /** The upstream answered. */
    ANSWERED;

    /** Returns the name used in error bodies and on links, for example {@code not_run}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

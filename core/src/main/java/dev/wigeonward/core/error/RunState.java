package dev.wigeonward.core.error;

import java.util.Locale;

/** Knowledge of whether a request ran at an upstream. */
public enum RunState {
    /** The request provably never reached an upstream. */
    NOT_RUN,
    /** The request may have reached an upstream, and it is not known whether it ran to completion. */
    UNKNOWN,
    /** The upstream answered the request. */
    ANSWERED;

    /** Returns the name used in error bodies and on links, for example {@code not_run}. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}

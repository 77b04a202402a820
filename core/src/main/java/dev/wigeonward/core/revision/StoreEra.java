package dev.wigeonward.core.revision;

import java.util.List;
import java.util.OptionalLong;

/** Latest era of the store that a process knows of. It only rises. Not thread-safe. */
public final class StoreEra {
    /** Longest text that is read as a number; longer ones would exceed a long. */
    private static final int MAX_DIGITS = 18;

    private long era;

    /** How the era of an answer compares with the known one. */
    public enum Observation {
        /** The answer is of the known era. */
        CURRENT,
        /** The answer is of a later era, which is now the known one. */
        RISEN,
        /** The answer is of an earlier era and must not be used. */
        LOWER,
        /** The era of the answer is no whole number; the known one counts. */
        UNREADABLE
    }

    /** Returns the known era, which is 0 at first. */
    public long era() {
        return era;
    }

    /** Observes the values of an answer's era field; an answer without the field is of era 0. */
    public Observation observe(List<String> values) {
        if (values.isEmpty()) {
            return observe(0);
        }
        OptionalLong read = values.size() == 1 ? parse(values.get(0)) : OptionalLong.empty();
        return read.isEmpty() ? Observation.UNREADABLE : observe(read.getAsLong());
    }

    /** Observes an era that the store or a peer has reported. */
    public Observation observe(long observed) {
        if (observed == era) {
            return Observation.CURRENT;
        }
        if (observed < era) {
            return Observation.LOWER;
        }
        era = observed;
        return Observation.RISEN;
    }

    private static OptionalLong parse(String text) {
        boolean digits = !text.isEmpty()
                && text.length() <= MAX_DIGITS
                && text.chars().allMatch(character -> character >= '0' && character <= '9');
        if (!digits) {
            return OptionalLong.empty();
        }
        long value = Long.parseLong(text);
        return value <= StoreRevision.MAX_ERA ? OptionalLong.of(value) : OptionalLong.empty();
    }
}

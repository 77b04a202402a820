package dev.wigeonward.core.schedule;

import java.util.OptionalLong;

import com.google.common.base.Preconditions;

/**
 * What an upstream states in the list about the time for which it is still cold. Statements of the same kind are equal,
 * because a list in which only the time counts down is not a changed one.
 */
public final class ColdStatement {
    /** Kind of statement. */
    public enum Kind {
        /** There is no statement. */
        ABSENT,
        /** The upstream is not cold. */
        WARM,
        /** The upstream is cold. */
        COLD,
        /** The statement is not a plausible time. */
        MALFORMED
    }

    /** Absence of a statement. */
    public static final ColdStatement ABSENT = new ColdStatement(Kind.ABSENT, 0);
    /** Statement that is not a plausible time. */
    public static final ColdStatement MALFORMED = new ColdStatement(Kind.MALFORMED, 0);

    private final Kind kind;
    private final long leftMillis;

    private ColdStatement(Kind kind, long leftMillis) {
        this.kind = kind;
        this.leftMillis = leftMillis;
    }

    /** Returns the statement that the upstream is cold for the given time, or warm if it is 0. */
    public static ColdStatement ofMillis(long leftMillis) {
        Preconditions.checkArgument(leftMillis >= 0, "leftMillis must not be negative but is %s", leftMillis);
        return new ColdStatement(leftMillis == 0 ? Kind.WARM : Kind.COLD, leftMillis);
    }

    public Kind kind() {
        return kind;
    }

    /** Returns the stated time, or empty if there is no plausible one. */
    public OptionalLong leftMillis() {
        return kind == Kind.WARM || kind == Kind.COLD ? OptionalLong.of(leftMillis) : OptionalLong.empty();
    }

    /** Returns whether the upstream has turned cold again after the earlier statement: the time only counts down. */
    public boolean isColdAgainAfter(ColdStatement earlier) {
        return leftMillis > earlier.leftMillis;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ColdStatement statement && kind == statement.kind;
    }

    @Override
    public int hashCode() {
        return kind.hashCode();
    }

    @Override
    public String toString() {
        return kind == Kind.COLD ? "COLD for " + leftMillis + " ms" : kind.toString();
    }
}

package dev.wigeonward.core.spend;

import com.google.common.base.Preconditions;

/** Tokens and their cost, in millionths of the currency unit; spent or committed. */
public record Spend(long tokens, long costMicros) {
    /** Nothing. */
    public static final Spend NONE = new Spend(0, 0);

    public Spend {
        Preconditions.checkArgument(tokens >= 0, "tokens is %s", tokens);
        Preconditions.checkArgument(costMicros >= 0, "costMicros is %s", costMicros);
    }

    /** Returns the sum. */
    public Spend plus(Spend other) {
        return new Spend(Math.addExact(tokens, other.tokens), Math.addExact(costMicros, other.costMicros));
    }

    /** Returns the difference; the other spend must not be larger. */
    public Spend minus(Spend other) {
        return new Spend(tokens - other.tokens, costMicros - other.costMicros);
    }

    /** Returns the larger number of tokens and the larger cost. */
    public Spend max(Spend other) {
        return new Spend(Math.max(tokens, other.tokens), Math.max(costMicros, other.costMicros));
    }
}

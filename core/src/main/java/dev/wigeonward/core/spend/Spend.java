package dev.wigeonward.core.spend;

import com.google.common.base.Preconditions;

/** A number of tokens and their cost in millionths of the currency unit, either spent or committed. */
public record Spend(long tokens, long costMicros) {
    /** No tokens and no cost. */
    public static final Spend ZERO = new Spend(0, 0);

    public Spend {
        Preconditions.checkArgument(tokens >= 0, "tokens must not be negative, got %s", tokens);
        Preconditions.checkArgument(costMicros >= 0, "costMicros must not be negative, got %s", costMicros);
    }

    /** Returns the sum of the tokens and of the costs. Throws {@link ArithmeticException} on overflow. */
    public Spend plus(Spend other) {
        return new Spend(Math.addExact(tokens, other.tokens), Math.addExact(costMicros, other.costMicros));
    }

    /** Returns the difference; neither the tokens nor the cost of the other spend may be larger. */
    public Spend minus(Spend other) {
        return new Spend(tokens - other.tokens, costMicros - other.costMicros);
    }

    /** Returns the larger number of tokens and the larger cost, each taken independently. */
    public Spend max(Spend other) {
        return new Spend(Math.max(tokens, other.tokens), Math.max(costMicros, other.costMicros));
    }
}

package dev.wigeonward.core.suspect;

import java.util.Objects;

import dev.wigeonward.core.dispatch.SuspectPolicy;
import dev.wigeonward.core.request.RequestSpec;

/** Policy that decides by the deaths recorded in a {@link SuspectTable}. */
public final class SuspectTablePolicy implements SuspectPolicy {
    private final SuspectTable table;

    private SuspectTablePolicy(SuspectTable table) {
        this.table = Objects.requireNonNull(table, "table");
    }

    /** Returns a policy backed by the table; facts merged into the table later take effect. */
    public static SuspectTablePolicy of(SuspectTable table) {
        return new SuspectTablePolicy(table);
    }

    @Override
    public Decision decide(RequestSpec request, long nowMillis) {
        if (table.restriction(request.fingerprint(), nowMillis) == SuspectRestriction.REFUSED) {
            return Decision.REFUSE;
        }
        return table.mayDispatch(request.fingerprint(), nowMillis) ? Decision.PASS : Decision.WAIT;
    }

    @Override
    public void recordDispatch(RequestSpec request, long nowMillis) {
        table.recordDispatch(request.fingerprint());
    }

    @Override
    public void recordEnd(RequestSpec request, long nowMillis) {
        table.recordEnd(request.fingerprint());
    }
}

package dev.wigeonward.core.suspect;

import java.util.Objects;

import dev.wigeonward.core.dispatch.SuspectGate;
import dev.wigeonward.core.request.RequestSpec;

/** Gate that decides by the deaths recorded in a {@link SuspectTable}. */
public final class SuspectTableGate implements SuspectGate {
    private final SuspectTable table;

    private SuspectTableGate(SuspectTable table) {
        this.table = Objects.requireNonNull(table, "table");
    }

    /** Returns a gate backed by the table; facts merged into the table later take effect. */
    public static SuspectTableGate over(SuspectTable table) {
        return new SuspectTableGate(table);
    }

    @Override
    public Ruling rule(RequestSpec request, long nowMillis) {
        if (table.suspicion(request.fingerprint(), nowMillis) == Suspicion.REFUSED) {
            return Ruling.REFUSE;
        }
        return table.mayDispatch(request.fingerprint(), nowMillis) ? Ruling.PASS : Ruling.WAIT;
    }

    @Override
    public void onDispatched(RequestSpec request, long nowMillis) {
        table.onDispatched(request.fingerprint());
    }

    @Override
    public void onEnded(RequestSpec request, long nowMillis) {
        table.onEnded(request.fingerprint());
    }
}

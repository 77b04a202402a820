package dev.wigeonward.core.suspect;

import java.util.Objects;

import dev.wigeonward.core.dispatch.SuspectPolicy;
import dev.wigeonward.core.request.RequestSpec;

/**
 * Policy that decides by the deaths recorded for a whole request and for the parts of its prompt. A part is refused as
 * soon as one version of the upstreams refuses it.
 */
public final class SuspectTablePolicy implements SuspectPolicy {
    private final SuspectTable table;
    private final SuspectPartTable parts;

    private SuspectTablePolicy(SuspectTable table, SuspectPartTable parts) {
        this.table = Objects.requireNonNull(table, "table");
        this.parts = Objects.requireNonNull(parts, "parts");
    }

    /** Returns a policy backed by the tables; facts merged into them later take effect. */
    public static SuspectTablePolicy of(SuspectTable table, SuspectPartTable parts) {
        return new SuspectTablePolicy(table, parts);
    }

    @Override
    public Decision decide(RequestSpec request, long nowMillis) {
        if (table.restriction(request.fingerprint(), nowMillis) == SuspectRestriction.REFUSED
                || !parts.refusedVersions(request.promptParts(), nowMillis).isEmpty()) {
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

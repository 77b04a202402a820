package dev.wigeonward.core.rollout;

import java.util.Optional;

import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;

/** Factory of requests for the tests of this package. */
final class Requests {
    private Requests() {}

    static RequestSpec request(int entry, int sequence, String route, Tier tier) {
        return new RequestSpec(
                RequestId.of("entry" + entry, 1, sequence),
                Optional.empty(),
                tier,
                "workspace",
                "model",
                route,
                new WorkEstimate(100, 10, 0),
                60_000,
                true,
                sequence);
    }
}

package dev.wigeonward.core.placement;

import java.util.Optional;

import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;

/** Factory methods for upstreams and requests in placement tests. */
final class PlacementFixtures {
    static final String LOCAL = "domain-1";
    static final String REMOTE = "domain-2";

    private PlacementFixtures() {}

    static UpstreamLoadState upstream(String id, int slots, int tokensPerSecond, String domain) {
        EngineSpeed speed = new EngineSpeed(tokensPerSecond * 10, tokensPerSecond);
        return UpstreamLoadState.of(new UpstreamDescription(id, 1, "model", "v1", domain, slots, speed));
    }

    static UpstreamPool pool(int size) {
        UpstreamPool pool = UpstreamPool.create();
        for (int number = 0; number < size; number++) {
            pool.put(upstream("upstream-" + number, 4, 100, LOCAL));
        }
        return pool;
    }

    static RequestSpec request(int promptTokens, long prefixHash) {
        return request(Optional.empty(), new WorkEstimate(promptTokens, 100, prefixHash));
    }

    static RequestSpec request(Optional<String> key, WorkEstimate work) {
        RequestId id = RequestId.of("entry", 1, 1);
        return new RequestSpec(id, key, Tier.STANDARD, "workspace", "model", "route", work, 60_000, true, 1);
    }
}

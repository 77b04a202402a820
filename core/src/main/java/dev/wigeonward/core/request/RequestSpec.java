package dev.wigeonward.core.request;

import java.util.Objects;
import java.util.Optional;

import com.google.common.base.Preconditions;

/**
 * What the decision cores know of a request.
 *
 * @param id made by the entry that received it
 * @param key hash of workspace and idempotency key, if the caller gave a key
 * @param tier importance
 * @param workspace paying workspace
 * @param target model or plain service
 * @param route label under which version moves judge it: target and kind of request
 * @param work expected size
 * @param deadlineMillis time by which the whole answer is due, on the clock of the process
 * @param idempotent false if running it twice does harm
 * @param fingerprint hash of workspace, target and body; equal for resends
 */
public record RequestSpec(
        RequestId id,
        Optional<String> key,
        Tier tier,
        String workspace,
        String target,
        String route,
        WorkEstimate work,
        long deadlineMillis,
        boolean idempotent,
        long fingerprint) {
    public RequestSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(tier, "tier");
        Objects.requireNonNull(work, "work");
        Preconditions.checkArgument(!workspace.isEmpty(), "workspace is empty");
        Preconditions.checkArgument(!target.isEmpty(), "target is empty");
        Preconditions.checkArgument(!route.isEmpty(), "route is empty");
        Preconditions.checkArgument(idempotent || key.isPresent(), "non-idempotent request %s has no key", id);
    }

    /** Returns the time left before the deadline, in milliseconds; negative once it has passed. */
    public long timeLeftMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }
}

package dev.wigeonward.core.request;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.google.common.base.Preconditions;

/**
 * Properties of a request on which scheduling decisions are based.
 *
 * @param id identifier assigned by the entry that received the request
 * @param key hash of workspace and idempotency key; empty if the caller sent no key
 * @param tier importance of the request
 * @param workspace workspace that pays for the request
 * @param target model or plain service that serves the request
 * @param route label, made of target and kind of request, by which rollouts group requests for evaluation
 * @param work expected size of the request
 * @param deadlineMillis time by which the whole answer is due, on the clock of the process
 * @param idempotent false if running the request twice does harm
 * @param fingerprint hash of workspace, target and body; equal for resends
 * @param promptParts hashes of the parts of the prompt that other requests may contain
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
        long fingerprint,
        List<Long> promptParts) {
    public RequestSpec {
        promptParts = List.copyOf(promptParts);
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(tier, "tier");
        Objects.requireNonNull(work, "work");
        Preconditions.checkArgument(!workspace.isEmpty(), "workspace is empty");
        Preconditions.checkArgument(!target.isEmpty(), "target is empty");
        Preconditions.checkArgument(!route.isEmpty(), "route is empty");
        Preconditions.checkArgument(
                idempotent || key.isPresent(), "non-idempotent request %s must have an idempotency key", id);
    }

    /** Creates the properties of a request without parts that others may contain. */
    public RequestSpec(
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
        this(id, key, tier, workspace, target, route, work, deadlineMillis, idempotent, fingerprint, List.of());
    }

    /** Returns the time left before the deadline, in milliseconds; negative once it has passed. */
    public long remainingMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }
}

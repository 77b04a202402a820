package dev.wigeonward.core.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.hash.Hashing;
import dev.wigeonward.core.request.RequestSpec;

/**
 * Selector of the version of the target that serves a request.
 *
 * <p>During a rollout, candidates for the new version are drawn by a hash of the request id, independent of route and
 * tier; the limiter then bounds how many candidates are sent there. A repeated selection for the same request, after a
 * dispatch that did not run, returns the first choice and is counted once.
 */
public final class VersionSelector {
    /**
     * Ratio of drawn candidates to the share. At 1, a candidate drawn while the limiter has no credit would be lost and
     * the share never reached. If all requests were candidates, the limiter alone would pick every fiftieth request at
     * a share of 2%, which samples tiers unevenly when they alternate regularly.
     */
    private static final double DRAW_FACTOR = 1.5;
    /** Covers about 15 s of requests at one entry of the target size; a request is retried sooner than that. */
    private static final int MAX_REMEMBERED_CHOICES = 1_024;

    private final StageView view;
    private final ShareLimiter limiter;
    private final Map<String, String> onlyVersionByModel = new HashMap<>();
    private final Map<String, Choice> choices = new LinkedHashMap<>();

    /** Creates a selector over the stages and verdicts of the view. */
    public VersionSelector(StageView view, ShareLimiter limiter) {
        this.view = view;
        this.limiter = limiter;
    }

    /**
     * Returns the version for the request, or empty if no version may serve it.
     *
     * @param versionsWithUpstreams versions of the target that live upstreams offer
     */
    public Optional<String> select(RequestSpec request, Collection<String> versionsWithUpstreams, long nowMillis) {
        String model = request.target();
        Optional<Stage> stage = view.stage(model);
        if (stage.isEmpty()) {
            return selectWithoutRollout(model, versionsWithUpstreams);
        }
        String oldVersion = stage.get().oldVersion();
        String newVersion = stage.get().newVersion();
        boolean oldUsable = versionsWithUpstreams.contains(oldVersion) && !view.isBad(model, oldVersion);
        Optional<String> fallback = oldUsable ? Optional.of(oldVersion) : Optional.empty();
        int shareBasisPoints = view.shareBasisPoints(model, nowMillis);
        if (shareBasisPoints == 0 || !versionsWithUpstreams.contains(newVersion)) {
            return fallback;
        }
        boolean sendToNew = chooseNew(request, newVersion, shareBasisPoints);
        if (sendToNew || !oldUsable && stage.get().hasGoodVerdict()) {
            return Optional.of(newVersion);
        }
        return fallback;
    }

    /**
     * Returns the version to use when no rollout is known. A second version may be one without a verdict, so the
     * selector keeps to the version that was last offered alone.
     */
    private Optional<String> selectWithoutRollout(String model, Collection<String> versionsWithUpstreams) {
        List<String> usable = versionsWithUpstreams.stream()
                .filter(version -> !view.isBad(model, version))
                .distinct()
                .toList();
        if (usable.size() == 1 && versionsWithUpstreams.size() == 1) {
            onlyVersionByModel.put(model, usable.get(0));
        }
        if (usable.size() == 1) {
            return Optional.of(usable.get(0));
        }
        return Optional.ofNullable(onlyVersionByModel.get(model)).filter(usable::contains);
    }

    /** Returns whether the request goes to the new version, and remembers the choice for its retries. */
    private boolean chooseNew(RequestSpec request, String newVersion, int shareBasisPoints) {
        Choice earlier = choices.get(request.id().value());
        if (earlier != null && earlier.newVersion.equals(newVersion)) {
            return earlier.chosen;
        }
        int draw = Math.floorMod(
                Hashing.murmur3_32_fixed()
                        .hashUnencodedChars(request.id().value())
                        .asInt(),
                Stage.ALL_BASIS_POINTS);
        boolean drawn = draw < shareBasisPoints * DRAW_FACTOR;
        boolean chosen =
                limiter.count(new ModelVersion(request.target(), newVersion), request.route(), shareBasisPoints, drawn);
        choices.put(request.id().value(), new Choice(newVersion, chosen));
        if (choices.size() > MAX_REMEMBERED_CHOICES) {
            choices.remove(choices.keySet().iterator().next());
        }
        return chosen;
    }

    private record Choice(String newVersion, boolean chosen) {}
}

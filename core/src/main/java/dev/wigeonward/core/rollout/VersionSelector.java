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
 * Chooses the version of the target that serves a request.
 *
 * <p>Requests of a move are drawn by a hash of their id, independent of route and tier; the limiter then bounds how
 * many of those drawn are sent. Asking again for the same request, after a dispatch that did not run, counts it once.
 */
public final class VersionSelector {
    /**
     * Draws half as many again as the share allows. With exactly the share, a draw that meets an empty credit would be
     * lost and the share never reached; with all requests, the limiter alone would choose every fiftieth one, which
     * samples unevenly when tiers alternate regularly.
     */
    private static final double DRAW_FACTOR = 1.5;
    /** About 15 s of requests at one entry of the target size; retries come sooner. */
    private static final int MAX_REMEMBERED_CHOICES = 1_024;

    private final StageView view;
    private final ShareLimiter limiter;
    private final Map<String, String> onlyVersionByModel = new HashMap<>();
    private final Map<String, Choice> choices = new LinkedHashMap<>();

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
            return selectWithoutMove(model, versionsWithUpstreams);
        }
        String oldVersion = stage.get().oldVersion();
        String newVersion = stage.get().newVersion();
        boolean oldUsable = versionsWithUpstreams.contains(oldVersion) && !view.isBad(model, oldVersion);
        Optional<String> otherwise = oldUsable ? Optional.of(oldVersion) : Optional.empty();
        int shareBasisPoints = view.shareBasisPoints(model, nowMillis);
        if (shareBasisPoints == 0 || !versionsWithUpstreams.contains(newVersion)) {
            return otherwise;
        }
        boolean sendToNew = isChosen(request, newVersion, shareBasisPoints);
        if (sendToNew || !oldUsable && stage.get().judgedGood()) {
            return Optional.of(newVersion);
        }
        return otherwise;
    }

    /**
     * Without a known move a second version may be one that nobody has judged yet, so the entry stays with the version
     * that it saw alone.
     */
    private Optional<String> selectWithoutMove(String model, Collection<String> versionsWithUpstreams) {
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

    private boolean isChosen(RequestSpec request, String newVersion, int shareBasisPoints) {
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

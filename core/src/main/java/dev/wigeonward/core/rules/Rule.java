package dev.wigeonward.core.rules;

import java.time.Instant;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import com.google.common.collect.Sets;
import dev.wigeonward.core.request.Tier;

/** One rule of the operators' file. */
public sealed interface Rule {
    /** Returns the line the rule stands on and who asked for it. */
    Source source();

    /**
     * Where a rule comes from.
     *
     * @param line line in the file, counted from 1
     * @param askedBy who asked for the rule
     * @param why reason given
     */
    record Source(int line, String askedBy, String why) {}

    /**
     * A paying workspace.
     *
     * @param weight share of capacity within a tier, relative to the other workspaces
     * @param tiers tiers that the workspace may use
     */
    record Workspace(String name, int weight, Set<Tier> tiers, Source source) implements Rule {
        public Workspace {
            tiers = Sets.immutableEnumSet(tiers);
        }

        /** Returns the highest allowed tier that is not above the wanted one, or empty if there is none. */
        public Optional<Tier> highestTierUpTo(Tier wanted) {
            return tiers.stream().filter(tier -> !tier.isAbove(wanted)).findFirst();
        }
    }

    /** A key of a workspace, known only by the SHA-256 hash of the key in 64 lower-case hex digits. */
    record Key(String workspace, String sha256, Source source) implements Rule {}

    /** A back end that requests are routed to. */
    sealed interface Target extends Rule {
        /** Returns the name, unique over models and services. */
        String name();

        /** Returns whether its upstreams refuse an order with an old fencing number by themselves. */
        boolean checksFencing();
    }

    /** A model; {@code version} serves alone unless a move says otherwise. */
    record Model(String name, String version, boolean checksFencing, Source source) implements Target {}

    /** A plain service, selected by path. */
    record Service(String name, PathPattern path, boolean checksFencing, Source source) implements Target {}

    /** A call that is not idempotent. */
    record NoRepeat(String target, String method, PathPattern path, Source source) implements Rule {}

    /** One upstream whose treatment of fencing numbers differs from the rule of its target. */
    record Upstream(String id, boolean checksFencing, Source source) implements Rule {}

    /**
     * A kind of request. A target's kinds are tried in the order of their lines; the first that matches applies.
     *
     * @param method required method, if given
     * @param path required path, if given
     * @param maxOutputTokens matches requests that ask for at most so many output tokens, if given
     * @param deadlineMillis deadline when the caller names none, and the longest that a caller may name
     * @param expectedOutputTokens output length that the scheduler plans with
     */
    record Kind(
            String name,
            String target,
            Optional<String> method,
            Optional<PathPattern> path,
            OptionalInt maxOutputTokens,
            Tier tier,
            long deadlineMillis,
            int expectedOutputTokens,
            Source source)
            implements Rule {
        /** Returns whether a request with these properties is of this kind; empty tokens never match a bound. */
        public boolean matches(String requestMethod, String requestPath, OptionalInt requestedOutputTokens) {
            boolean methodFits = method.isEmpty() || method.get().equals(requestMethod);
            boolean pathFits = path.isEmpty() || path.get().matches(requestPath);
            boolean sizeFits = maxOutputTokens.isEmpty()
                    || requestedOutputTokens.isPresent()
                            && requestedOutputTokens.getAsInt() <= maxOutputTokens.getAsInt();
            return methodFits && pathFits && sizeFits;
        }

        boolean covers(Kind other) {
            boolean methodCovers = method.isEmpty() || method.equals(other.method);
            boolean pathCovers =
                    path.isEmpty() || other.path.isPresent() && path.get().covers(other.path.get());
            boolean sizeCovers = maxOutputTokens.isEmpty()
                    || other.maxOutputTokens.isPresent()
                            && other.maxOutputTokens.getAsInt() <= maxOutputTokens.getAsInt();
            return methodCovers && pathCovers && sizeCovers;
        }
    }

    /** A bound that holds for every request or queue; in bytes or requests, see {@link LimitName}. */
    record Limit(LimitName name, long value, Source source) implements Rule {}

    /** Upper bounds for one workspace; an absent one means no bound. */
    record Rate(String workspace, OptionalInt requestsPerSecond, OptionalInt tokensPerSecond, Source source)
            implements Rule {}

    /** Spend owed in each period, in millionths of the currency unit. */
    record Commitment(String workspace, long spendMicros, long periodMillis, Source source) implements Rule {}

    /** Price of a model's tokens, in millionths of the currency unit. */
    record Price(String model, long microsPerThousandTokens, Source source) implements Rule {}

    /**
     * A move of traffic to a new version.
     *
     * @param by time by which the move is due
     * @param canaryBasisPoints largest share before the first verdict, in hundredths of a percent
     */
    record Move(String model, String from, String to, Instant by, int canaryBasisPoints, Source source)
            implements Rule {}

    /** The limits and their allowed ranges. */
    enum LimitName {
        /** Bytes of a request body; the default is 1 MiB. */
        BODY("bytes", 1_024, 64L << 20, 1L << 20),
        /** Bytes of a request's header section; it travels in one frame of at most 1 MiB with part of the body. */
        HEADER("bytes", 1_024, 256 << 10, 16 << 10),
        /** Requests that wait in one queue of an entry. */
        QUEUE("length", 1, 1_000_000, 1_024);

        private final String key;
        private final long min;
        private final long max;
        private final long defaultValue;

        LimitName(String key, long min, long max, long defaultValue) {
            this.key = key;
            this.min = min;
            this.max = max;
            this.defaultValue = defaultValue;
        }

        /** Returns the name used in rules. */
        public String lowerCaseName() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** Returns the value that holds when no rule gives one. */
        public long defaultValue() {
            return defaultValue;
        }

        String key() {
            return key;
        }

        long min() {
            return min;
        }

        long max() {
            return max;
        }
    }
}

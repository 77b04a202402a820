package dev.wigeonward.core.rules;

import java.time.Instant;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import com.google.common.collect.Sets;
import dev.wigeonward.core.request.Tier;

/** A rule, read from one line of a rules file. */
public sealed interface Rule {
    /** Returns the line number of the rule and who requested it. */
    Source source();

    /**
     * Origin of a rule.
     *
     * @param line line number in the file, starting at 1
     * @param askedBy person or team that requested the rule
     * @param why reason given for the rule
     */
    record Source(int line, String askedBy, String why) {}

    /**
     * A workspace, which pays for its requests.
     *
     * @param weight share of the capacity within a tier, relative to the other workspaces
     * @param tiers tiers that requests of the workspace may use
     */
    record Workspace(String name, int weight, Set<Tier> tiers, Source source) implements Rule {
        public Workspace {
            tiers = Sets.immutableEnumSet(tiers);
        }

        /** Returns the highest allowed tier that is not above the requested one, or empty if there is none. */
        public Optional<Tier> highestAllowedTier(Tier requested) {
            return tiers.stream().filter(tier -> !tier.isAbove(requested)).findFirst();
        }
    }

    /** A key of a workspace, stored only as the SHA-256 hash of the key in 64 lower-case hex digits. */
    record Key(String workspace, String sha256, Source source) implements Rule {}

    /** A model or service that requests are routed to. */
    sealed interface Target extends Rule {
        /** Returns the name, which is unique among models and services. */
        String name();

        /** Returns whether the upstreams of the target themselves reject orders with an old fencing number. */
        boolean checksFencing();
    }

    /** A model; all its requests go to {@code version} unless a move rule exists for it. */
    record Model(String name, String version, boolean checksFencing, Source source) implements Target {}

    /** A service without models, selected by the request path. */
    record Service(String name, PathPattern path, boolean checksFencing, Source source) implements Target {}

    /** Calls of a target that are not idempotent, selected by method and path. */
    record NoRepeat(String target, String method, PathPattern path, Source source) implements Rule {}

    /** An upstream that overrides the fencing behavior of its target. */
    record Upstream(String id, boolean checksFencing, Source source) implements Rule {}

    /**
     * A kind of request. The kinds of a target are tried in the order of their lines, and the first match applies.
     *
     * @param method method of matching requests, or empty for any
     * @param path path of matching requests, or empty for any
     * @param maxOutputTokens largest requested number of output tokens of matching requests, or empty for any
     * @param deadlineMillis default deadline, and the longest deadline that a caller may request
     * @param expectedOutputTokens output length that the scheduler assumes
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
        /**
         * Returns whether the kind matches a request; a request without a token limit never matches a kind with one.
         */
        public boolean matches(String requestMethod, String requestPath, OptionalInt requestedOutputTokens) {
            boolean methodMatches = method.isEmpty() || method.get().equals(requestMethod);
            boolean pathMatches = path.isEmpty() || path.get().matches(requestPath);
            boolean sizeMatches = maxOutputTokens.isEmpty()
                    || requestedOutputTokens.isPresent()
                            && requestedOutputTokens.getAsInt() <= maxOutputTokens.getAsInt();
            return methodMatches && pathMatches && sizeMatches;
        }

        /** Returns whether this kind matches every request that the other one matches. */
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

    /** A limit on every request or queue, in bytes or requests depending on the {@link LimitName}. */
    record Limit(LimitName name, long value, Source source) implements Rule {}

    /** Rate limits of a workspace; an empty value means no limit. */
    record Rate(String workspace, OptionalInt requestsPerSecond, OptionalInt tokensPerSecond, Source source)
            implements Rule {}

    /** Spend that a workspace commits to in each period, in millionths of the currency unit. */
    record Commitment(String workspace, long spendMicros, long periodMillis, Source source) implements Rule {}

    /** Price of 1,000 tokens of a model, in millionths of the currency unit. */
    record Price(String model, long microsPerThousandTokens, Source source) implements Rule {}

    /**
     * A move of the traffic of a model from one version to another.
     *
     * @param by time by which the move is due
     * @param canaryBasisPoints largest share of the new version before the first verdict, in hundredths of a percent
     */
    record Move(String model, String from, String to, Instant by, int canaryBasisPoints, Source source)
            implements Rule {}

    /** Names of the limits, with their keys, allowed ranges and defaults. */
    enum LimitName {
        /** Maximum size of a request body in bytes; the default is 1 MiB. */
        BODY("bytes", 1_024, 64L << 20, 1L << 20),
        /**
         * Maximum size of a request's header section in bytes; one frame of at most 1 MiB carries it and part of the
         * body.
         */
        HEADER("bytes", 1_024, 256 << 10, 16 << 10),
        /** Maximum number of requests that wait in one queue of an entry. */
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

        /** Returns the name in lower case, as rules contain it. */
        public String lowerCaseName() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** Returns the value that applies if no rule sets one. */
        public long defaultValue() {
            return defaultValue;
        }

        /** Returns the key of the value in a limit rule. */
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

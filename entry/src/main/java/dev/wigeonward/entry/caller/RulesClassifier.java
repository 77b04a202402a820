package dev.wigeonward.entry.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Supplier;

import com.google.common.hash.Hashing;
import com.google.common.primitives.Longs;
import dev.wigeonward.core.admission.WorkspaceRateLimiter;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;
import dev.wigeonward.core.rules.Rule;
import dev.wigeonward.core.rules.RuleSet;

/** A request classifier that uses the rules in force. */
public final class RulesClassifier implements RequestClassifier {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String BEARER = "Bearer ";
    private static final int MAX_KEY_CHARACTERS = 255;
    private static final WorkEstimate NO_TOKENS = new WorkEstimate(0, 0, 0);

    private final Supplier<Optional<RuleSet>> rulesInForce;
    private final WorkspaceRateLimiter rates;

    /** Creates a classifier that fetches the rules in force for each request. */
    public RulesClassifier(Supplier<Optional<RuleSet>> rulesInForce, WorkspaceRateLimiter rates) {
        this.rulesInForce = rulesInForce;
        this.rates = rates;
    }

    @Override
    public Result classify(CallerRequest request, RequestId id, long nowMillis) {
        Optional<RuleSet> rules = rulesInForce.get();
        if (rules.isEmpty()) {
            return refused(ErrorKind.NOT_READY, "this entry has no rules revision yet");
        }
        Optional<Rule.Workspace> workspace = workspace(request, rules.get());
        if (workspace.isEmpty()) {
            return refused(ErrorKind.UNAUTHORIZED, "the authorization header has no bearer key of a workspace");
        }
        TargetResolution resolution = resolveTarget(request, rules.get());
        if (resolution.failure().isPresent()) {
            return new Result.Refused(resolution.failure().get());
        }
        return describe(request, rules.get(), workspace.get(), resolution, id, nowMillis);
    }

    private static Optional<Rule.Workspace> workspace(CallerRequest request, RuleSet rules) {
        return request.header("authorization")
                .filter(value -> value.startsWith(BEARER))
                .map(value -> Hashing.sha256()
                        .hashString(value.substring(BEARER.length()).trim(), StandardCharsets.UTF_8)
                        .toString())
                .flatMap(rules::workspaceByKeyHash);
    }

    private static TargetResolution resolveTarget(CallerRequest request, RuleSet rules) {
        if (request.pathWithoutQuery().equals(CHAT_PATH)) {
            return resolveModel(request, rules);
        }
        return rules.serviceForPath(request.pathWithoutQuery())
                .map(service -> TargetResolution.service(service.name()))
                .orElseGet(() ->
                        TargetResolution.failed(ErrorKind.UNKNOWN_TARGET, "no service is configured for this path"));
    }

    private static TargetResolution resolveModel(CallerRequest request, RuleSet rules) {
        if (!request.method().equals("POST")) {
            return TargetResolution.failed(ErrorKind.METHOD_NOT_ALLOWED, "use POST for " + CHAT_PATH);
        }
        ChatRequest.Result parsed = ChatRequest.parse(request.body());
        if (parsed instanceof ChatRequest.Result.Invalid invalid) {
            return TargetResolution.failed(ErrorKind.MALFORMED_REQUEST, invalid.message());
        }
        ChatRequest chat = ((ChatRequest.Result.Valid) parsed).request();
        boolean known =
                rules.target(chat.model()).filter(Rule.Model.class::isInstance).isPresent();
        if (!known) {
            return TargetResolution.failed(ErrorKind.UNKNOWN_TARGET, "no model is named " + chat.model());
        }
        return new TargetResolution(chat.model(), Optional.of(chat), Optional.empty());
    }

    private Result describe(
            CallerRequest request,
            RuleSet rules,
            Rule.Workspace workspace,
            TargetResolution resolution,
            RequestId id,
            long nowMillis) {
        String path = request.pathWithoutQuery();
        OptionalInt maxTokens =
                resolution.chat().map(ChatRequest::maxOutputTokens).orElse(OptionalInt.empty());
        Optional<Rule.Kind> kind = rules.kind(resolution.target(), path, request.method(), maxTokens);
        if (kind.isEmpty()) {
            return refused(ErrorKind.UNKNOWN_TARGET, "no kind rule matches this request");
        }
        Optional<Tier> tier = tier(request, rules, workspace, kind.get());
        if (tier.isEmpty()) {
            return refused(
                    ErrorKind.MALFORMED_REQUEST,
                    "the workspace may not use the tier of this kind of request,"
                            + " or x-tier names an unknown or forbidden tier");
        }
        Optional<Long> limitMillis = timeLimitMillis(request, kind.get());
        if (limitMillis.isEmpty()) {
            return refused(ErrorKind.MALFORMED_REQUEST, "x-deadline-ms must be a positive integer");
        }
        boolean idempotent = rules.isIdempotent(resolution.target(), path, request.method());
        Optional<String> key = request.header("idempotency-key").map(RulesClassifier::unquote);
        if (key.isEmpty() && !idempotent) {
            return refused(
                    ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
                    "a request that is not idempotent requires an Idempotency-Key header");
        }
        if (key.isPresent() && (key.get().isEmpty() || key.get().length() > MAX_KEY_CHARACTERS)) {
            return refused(
                    ErrorKind.MALFORMED_REQUEST,
                    "Idempotency-Key must have 1 to " + MAX_KEY_CHARACTERS + " characters");
        }
        WorkEstimate work = work(resolution, kind.get());
        if (!tryAcquireRate(rules, workspace.name(), work, nowMillis)) {
            return refused(ErrorKind.RATE_LIMITED, "the workspace exceeds its configured rate");
        }
        return new Result.Classified(new RequestSpec(
                id,
                key.map(given -> hashKey(workspace.name(), given)),
                tier.get(),
                workspace.name(),
                resolution.target(),
                resolution.target() + "/" + kind.get().name(),
                work,
                nowMillis + limitMillis.get(),
                idempotent,
                fingerprint(request, workspace.name(), resolution.target()),
                resolution.chat().map(ChatRequest::sharedParts).orElse(List.of())));
    }

    private boolean tryAcquireRate(RuleSet rules, String workspace, WorkEstimate work, long nowMillis) {
        Optional<Rule.Rate> rate = rules.rate(workspace);
        return rate.isEmpty()
                || rates.tryAcquire(
                        workspace,
                        rate.get().requestsPerSecond(),
                        rate.get().tokensPerSecond(),
                        work.promptTokens() + work.outputTokens(),
                        nowMillis);
    }

    /**
     * Returns the tier of a request. A caller may ask for a lower tier than the rules give; a higher one is lowered.
     */
    private static Optional<Tier> tier(CallerRequest request, RuleSet rules, Rule.Workspace workspace, Rule.Kind kind) {
        Optional<Tier> allowed = rules.tier(workspace.name(), kind);
        Optional<String> wanted = request.header("x-tier");
        if (allowed.isEmpty() || wanted.isEmpty()) {
            return allowed;
        }
        return Tier.fromName(wanted.get())
                .map(tier -> tier.isAbove(allowed.get()) ? allowed.get() : tier)
                .flatMap(workspace::highestAllowedTier);
    }

    private static Optional<Long> timeLimitMillis(CallerRequest request, Rule.Kind kind) {
        Optional<String> wanted = request.header("x-deadline-ms");
        if (wanted.isEmpty()) {
            return Optional.of(kind.deadlineMillis());
        }
        return Optional.ofNullable(Longs.tryParse(wanted.get()))
                .filter(millis -> millis > 0)
                .map(millis -> Math.min(millis, kind.deadlineMillis()));
    }

    private static WorkEstimate work(TargetResolution resolution, Rule.Kind kind) {
        if (resolution.chat().isEmpty()) {
            return NO_TOKENS;
        }
        ChatRequest chat = resolution.chat().get();
        int outputTokens =
                Math.min(kind.expectedOutputTokens(), chat.maxOutputTokens().orElse(kind.expectedOutputTokens()));
        return new WorkEstimate(chat.promptTokens(), outputTokens, chat.prefixHash());
    }

    private static String hashKey(String workspace, String key) {
        return Hashing.sha256()
                .newHasher()
                .putString(workspace, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(key, StandardCharsets.UTF_8)
                .hash()
                .toString();
    }

    private static long fingerprint(CallerRequest request, String workspace, String target) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(workspace, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(target, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(request.method() + " " + request.path(), StandardCharsets.UTF_8)
                .putBytes(request.body())
                .hash()
                .asLong();
    }

    /**
     * Removes the quotes of the IETF draft, which defines the key as a quoted string; many clients send it unquoted.
     */
    private static String unquote(String value) {
        boolean quoted = value.length() >= 2 && value.startsWith("\"") && value.endsWith("\"");
        return quoted ? value.substring(1, value.length() - 1) : value;
    }

    private static Result refused(ErrorKind kind, String message) {
        return new Result.Refused(Failure.of(kind, message));
    }

    /** The target of a request with its parsed chat request, if it names a model, or the reason of a refusal. */
    private record TargetResolution(String target, Optional<ChatRequest> chat, Optional<Failure> failure) {
        static TargetResolution service(String name) {
            return new TargetResolution(name, Optional.empty(), Optional.empty());
        }

        static TargetResolution failed(ErrorKind kind, String message) {
            return new TargetResolution("", Optional.empty(), Optional.of(Failure.of(kind, message)));
        }
    }
}

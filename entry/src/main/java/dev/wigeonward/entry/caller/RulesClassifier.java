package dev.wigeonward.entry.caller;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Supplier;

import com.google.common.hash.Hashing;
import com.google.common.primitives.Longs;
import dev.wigeonward.core.admission.WorkspaceRates;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;
import dev.wigeonward.core.rules.Rule;
import dev.wigeonward.core.rules.RuleSet;

/** Classifies requests by the rules in force. */
public final class RulesClassifier implements RequestClassifier {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String BEARER = "Bearer ";
    private static final int MAX_KEY_CHARACTERS = 255;
    private static final WorkEstimate NO_TOKENS = new WorkEstimate(0, 0, 0);

    private final Supplier<Optional<RuleSet>> rulesInForce;
    private final WorkspaceRates rates;

    /** Returns a classifier that asks for the rules in force at each request. */
    public RulesClassifier(Supplier<Optional<RuleSet>> rulesInForce, WorkspaceRates rates) {
        this.rulesInForce = rulesInForce;
        this.rates = rates;
    }

    @Override
    public Result classify(CallerRequest request, RequestId id, long nowMillis) {
        Optional<RuleSet> rules = rulesInForce.get();
        if (rules.isEmpty()) {
            return refused(ErrorKind.NOT_READY, "this entry has no rules yet");
        }
        Optional<Rule.Workspace> workspace = workspace(request, rules.get());
        if (workspace.isEmpty()) {
            return refused(ErrorKind.UNAUTHORIZED, "no workspace has this bearer key");
        }
        Addressed addressed = address(request, rules.get());
        if (addressed.failure().isPresent()) {
            return new Result.Refused(addressed.failure().get());
        }
        return describe(request, rules.get(), workspace.get(), addressed, id, nowMillis);
    }

    private static Optional<Rule.Workspace> workspace(CallerRequest request, RuleSet rules) {
        return request.header("authorization")
                .filter(value -> value.startsWith(BEARER))
                .map(value -> Hashing.sha256()
                        .hashString(value.substring(BEARER.length()).trim(), StandardCharsets.UTF_8)
                        .toString())
                .flatMap(rules::workspaceByKeyHash);
    }

    private static Addressed address(CallerRequest request, RuleSet rules) {
        if (request.pathWithoutQuery().equals(CHAT_PATH)) {
            return addressModel(request, rules);
        }
        return rules.serviceForPath(request.pathWithoutQuery())
                .map(service -> Addressed.service(service.name()))
                .orElseGet(() -> Addressed.failed(ErrorKind.UNKNOWN_TARGET, "no service has this path"));
    }

    private static Addressed addressModel(CallerRequest request, RuleSet rules) {
        if (!request.method().equals("POST")) {
            return Addressed.failed(ErrorKind.METHOD_NOT_ALLOWED, "use POST for " + CHAT_PATH);
        }
        ChatRequest.Result parsed = ChatRequest.parse(request.body());
        if (parsed instanceof ChatRequest.Result.Invalid invalid) {
            return Addressed.failed(ErrorKind.MALFORMED_REQUEST, invalid.message());
        }
        ChatRequest chat = ((ChatRequest.Result.Valid) parsed).request();
        boolean known =
                rules.target(chat.model()).filter(Rule.Model.class::isInstance).isPresent();
        if (!known) {
            return Addressed.failed(ErrorKind.UNKNOWN_TARGET, "no model is named " + chat.model());
        }
        return new Addressed(chat.model(), Optional.of(chat), Optional.empty());
    }

    private Result describe(
            CallerRequest request,
            RuleSet rules,
            Rule.Workspace workspace,
            Addressed addressed,
            RequestId id,
            long nowMillis) {
        String path = request.pathWithoutQuery();
        OptionalInt maxTokens =
                addressed.chat().map(ChatRequest::maxOutputTokens).orElse(OptionalInt.empty());
        Optional<Rule.Kind> kind = rules.kind(addressed.target(), path, request.method(), maxTokens);
        if (kind.isEmpty()) {
            return refused(ErrorKind.UNKNOWN_TARGET, "no rule describes this kind of request");
        }
        Optional<Tier> tier = tier(request, rules, workspace, kind.get());
        if (tier.isEmpty()) {
            return refused(
                    ErrorKind.MALFORMED_REQUEST,
                    "the workspace may not use the tier of this kind of request, or the one that x-tier names");
        }
        Optional<Long> limitMillis = timeLimitMillis(request, kind.get());
        if (limitMillis.isEmpty()) {
            return refused(ErrorKind.MALFORMED_REQUEST, "x-deadline-ms must be a positive whole number");
        }
        boolean idempotent = rules.idempotent(addressed.target(), path, request.method());
        Optional<String> key = request.header("idempotency-key").map(RulesClassifier::unquote);
        if (key.isEmpty() && !idempotent) {
            return refused(ErrorKind.IDEMPOTENCY_KEY_REQUIRED, "this call needs an Idempotency-Key");
        }
        if (key.isPresent() && (key.get().isEmpty() || key.get().length() > MAX_KEY_CHARACTERS)) {
            return refused(
                    ErrorKind.MALFORMED_REQUEST,
                    "Idempotency-Key must have 1 to " + MAX_KEY_CHARACTERS + " characters");
        }
        WorkEstimate work = work(addressed, kind.get());
        if (!withinRate(rules, workspace.name(), work, nowMillis)) {
            return refused(ErrorKind.RATE_LIMITED, "the workspace exceeds the rate that the rules give it");
        }
        return new Result.Classified(new RequestSpec(
                id,
                key.map(given -> hashKey(workspace.name(), given)),
                tier.get(),
                workspace.name(),
                addressed.target(),
                addressed.target() + "/" + kind.get().name(),
                work,
                nowMillis + limitMillis.get(),
                idempotent,
                fingerprint(request, workspace.name(), addressed.target())));
    }

    private boolean withinRate(RuleSet rules, String workspace, WorkEstimate work, long nowMillis) {
        Optional<Rule.Rate> rate = rules.rate(workspace);
        return rate.isEmpty()
                || rates.tryAcquire(
                        workspace,
                        rate.get().requestsPerSecond(),
                        rate.get().tokensPerSecond(),
                        work.promptTokens() + work.outputTokens(),
                        nowMillis);
    }

    /** A caller may ask for a lower tier than the rules give, never for a higher one. */
    private static Optional<Tier> tier(CallerRequest request, RuleSet rules, Rule.Workspace workspace, Rule.Kind kind) {
        Optional<Tier> allowed = rules.tier(workspace.name(), kind);
        Optional<String> wanted = request.header("x-tier");
        if (allowed.isEmpty() || wanted.isEmpty()) {
            return allowed;
        }
        return Tier.fromName(wanted.get())
                .map(tier -> tier.isAbove(allowed.get()) ? allowed.get() : tier)
                .flatMap(workspace::highestTierUpTo);
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

    private static WorkEstimate work(Addressed addressed, Rule.Kind kind) {
        if (addressed.chat().isEmpty()) {
            return NO_TOKENS;
        }
        ChatRequest chat = addressed.chat().get();
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

    /** The IETF draft writes the key as a quoted string; many clients send it bare. */
    private static String unquote(String value) {
        boolean quoted = value.length() >= 2 && value.startsWith("\"") && value.endsWith("\"");
        return quoted ? value.substring(1, value.length() - 1) : value;
    }

    private static Result refused(ErrorKind kind, String message) {
        return new Result.Refused(Failure.of(kind, message));
    }

    private record Addressed(String target, Optional<ChatRequest> chat, Optional<Failure> failure) {
        static Addressed service(String name) {
            return new Addressed(name, Optional.empty(), Optional.empty());
        }

        static Addressed failed(ErrorKind kind, String message) {
            return new Addressed("", Optional.empty(), Optional.of(Failure.of(kind, message)));
        }
    }
}

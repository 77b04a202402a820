package dev.wigeonward.core.rules;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import dev.wigeonward.core.request.Tier;

/** Set of valid rules with the lookups that requests need. Immutable; lookups by name take constant time. */
public final class RuleSet {
    private final List<Rule> rules;
    private final Map<String, Rule.Workspace> workspaces = new HashMap<>();
    private final Map<String, Rule.Workspace> workspacesByKeyHash = new HashMap<>();
    private final Map<String, Rule.Target> targets = new HashMap<>();
    private final List<Rule.Service> servicesByPath = new ArrayList<>();
    private final Map<String, List<Rule.Kind>> kindsByTarget = new HashMap<>();
    private final Map<String, List<Rule.NoRepeat>> noRepeatByTarget = new HashMap<>();
    private final Map<String, Rule.Upstream> upstreams = new HashMap<>();
    private final Map<Rule.LimitName, Long> limits = new EnumMap<>(Rule.LimitName.class);
    private final Map<String, Rule.Rate> rates = new HashMap<>();
    private final Map<String, Rule.Commitment> commitments = new HashMap<>();
    private final Map<String, Rule.Price> prices = new HashMap<>();
    private final Map<String, Rule.Move> moves = new HashMap<>();
    private final List<Rule.Move> movesByDeadline;
    private final long longestDeadlineMillis;

    private RuleSet(List<Rule> rules) {
        this.rules = List.copyOf(rules);
        for (Rule.LimitName name : Rule.LimitName.values()) {
            limits.put(name, name.defaultValue());
        }
        rules.forEach(this::index);
        rules.stream()
                .filter(Rule.Key.class::isInstance)
                .map(Rule.Key.class::cast)
                .forEach(key -> workspacesByKeyHash.put(key.sha256(), workspaces.get(key.workspace())));
        // A longer prefix precedes a shorter one, and an exact path precedes a prefix of the same length.
        servicesByPath.sort(Comparator.comparingInt(
                        (Rule.Service service) -> service.path().prefix().length())
                .reversed()
                .thenComparing(service -> service.path().isPrefix()));
        movesByDeadline = moves.values().stream()
                .sorted(Comparator.comparing(Rule.Move::by).thenComparing(Rule.Move::model))
                .toList();
        longestDeadlineMillis = kindsByTarget.values().stream()
                .flatMap(List::stream)
                .mapToLong(Rule.Kind::deadlineMillis)
                .max()
                .orElse(0);
    }

    /** Returns a rule set of rules that were checked against each other. */
    static RuleSet of(List<Rule> rules) {
        return new RuleSet(rules);
    }

    private void index(Rule rule) {
        if (rule instanceof Rule.Workspace workspace) {
            workspaces.put(workspace.name(), workspace);
        } else if (rule instanceof Rule.Target target) {
            targets.put(target.name(), target);
            if (target instanceof Rule.Service service) {
                servicesByPath.add(service);
            }
        } else if (rule instanceof Rule.Kind kind) {
            kindsByTarget
                    .computeIfAbsent(kind.target(), name -> new ArrayList<>())
                    .add(kind);
        } else if (rule instanceof Rule.NoRepeat call) {
            noRepeatByTarget
                    .computeIfAbsent(call.target(), name -> new ArrayList<>())
                    .add(call);
        } else if (rule instanceof Rule.Upstream upstream) {
            upstreams.put(upstream.id(), upstream);
        } else if (rule instanceof Rule.Limit limit) {
            limits.put(limit.name(), limit.value());
        } else if (rule instanceof Rule.Rate rate) {
            rates.put(rate.workspace(), rate);
        } else if (rule instanceof Rule.Commitment commitment) {
            commitments.put(commitment.workspace(), commitment);
        } else if (rule instanceof Rule.Price price) {
            prices.put(price.model(), price);
        } else if (rule instanceof Rule.Move move) {
            moves.put(move.model(), move);
        }
    }

    /** Returns all rules in the order of their lines. */
    public List<Rule> rules() {
        return rules;
    }

    /** Returns the workspace that a key belongs to, given the SHA-256 hash of the key in lower-case hex digits. */
    public Optional<Rule.Workspace> workspaceByKeyHash(String sha256) {
        return Optional.ofNullable(workspacesByKeyHash.get(sha256));
    }

    /** Returns the workspace with the given name. */
    public Optional<Rule.Workspace> workspace(String name) {
        return Optional.ofNullable(workspaces.get(name));
    }

    /** Returns all workspaces, in no particular order. */
    public Collection<Rule.Workspace> workspaces() {
        return List.copyOf(workspaces.values());
    }

    /** Returns the model or service with the given name. */
    public Optional<Rule.Target> target(String name) {
        return Optional.ofNullable(targets.get(name));
    }

    /** Returns the service with the longest matching path; takes time linear in the number of services. */
    public Optional<Rule.Service> serviceForPath(String path) {
        return servicesByPath.stream()
                .filter(service -> service.path().matches(path))
                .findFirst();
    }

    /**
     * Returns the kind of a request, or empty if no rule matches. Takes time linear in the number of kinds of the
     * target.
     *
     * @param requestedOutputTokens limit on the output tokens, if the caller requested one
     */
    public Optional<Rule.Kind> kind(String target, String path, String method, OptionalInt requestedOutputTokens) {
        for (Rule.Kind kind : kindsByTarget.getOrDefault(target, List.of())) {
            if (kind.matches(method, path, requestedOutputTokens)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the tier of a request of the given workspace and kind, or empty if no tier up to the kind's is allowed.
     */
    public Optional<Tier> tier(String workspace, Rule.Kind kind) {
        return workspace(workspace).flatMap(found -> found.highestAllowedTier(kind.tier()));
    }

    /** Returns whether the call may run more than once, which is the default unless a no-repeat rule matches. */
    public boolean isIdempotent(String target, String path, String method) {
        return noRepeatByTarget.getOrDefault(target, List.of()).stream()
                .noneMatch(call -> call.method().equals(method) && call.path().matches(path));
    }

    /** Returns the value of a limit, in the unit described at its name. */
    public long limit(Rule.LimitName name) {
        return limits.get(name);
    }

    /** Returns the rate limits of a workspace, or empty if it has none. */
    public Optional<Rule.Rate> rate(String workspace) {
        return Optional.ofNullable(rates.get(workspace));
    }

    /** Returns the commitment of a workspace, or empty if it has none. */
    public Optional<Rule.Commitment> commitment(String workspace) {
        return Optional.ofNullable(commitments.get(workspace));
    }

    /** Returns the price of a model's tokens, or empty if no rule sets one. */
    public Optional<Rule.Price> price(String model) {
        return Optional.ofNullable(prices.get(model));
    }

    /**
     * Returns whether the upstream itself rejects orders with old fencing numbers. The rule of the upstream overrides
     * the rule of its target.
     */
    public boolean checksFencing(String upstreamId, String target) {
        Rule.Upstream upstream = upstreams.get(upstreamId);
        if (upstream != null) {
            return upstream.checksFencing();
        }
        return target(target).map(Rule.Target::checksFencing).orElse(false);
    }

    /** Returns the move rule of a model, or empty if none is configured. */
    public Optional<Rule.Move> move(String model) {
        return Optional.ofNullable(moves.get(model));
    }

    /** Returns all move rules, ordered by due time. */
    public List<Rule.Move> moves() {
        return movesByDeadline;
    }

    /** Returns the longest deadline of any kind in milliseconds, which the drain limit must exceed. */
    public long longestDeadlineMillis() {
        return longestDeadlineMillis;
    }
}

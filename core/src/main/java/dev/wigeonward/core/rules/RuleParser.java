package dev.wigeonward.core.rules;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parser of rules files. */
public final class RuleParser {
    /** Maximum size of a text in bytes; the store accepts values of up to 1 MB. */
    public static final int MAX_TEXT_BYTES = 1_000_000;

    private static final Pattern COMMENT = Pattern.compile("#\\s*asked by ([^:]*[^:\\s])\\s*:\\s*(\\S.*)");
    private static final String COMMENT_EXPECTED = "'# asked by <who>: <why>' at the end of the line";
    private static final int MAX_WEIGHT = 10_000;
    private static final int MAX_TOKENS = 10_000_000;
    private static final int MAX_PER_SECOND = 1_000_000_000;
    private static final long MAX_DEADLINE_MILLIS = 24 * 3_600_000L;
    private static final long DAY_MILLIS = 86_400_000L;
    private static final long MAX_PERIOD_MILLIS = 366 * DAY_MILLIS;
    // A bad version must not receive more than 2% of the requests of a route before its first verdict.
    private static final int MAX_CANARY_BASIS_POINTS = 200;

    private static final Map<String, BiFunction<LineFields, Rule.Source, Rule>> RULE_READERS =
            new TreeMap<>(Map.ofEntries(
                    Map.entry("workspace", RuleParser::workspace),
                    Map.entry("key", RuleParser::key),
                    Map.entry("model", RuleParser::model),
                    Map.entry("service", RuleParser::service),
                    Map.entry("no-repeat", RuleParser::noRepeat),
                    Map.entry("upstream", RuleParser::upstream),
                    Map.entry("kind", RuleParser::kind),
                    Map.entry("limit", RuleParser::limit),
                    Map.entry("rate", RuleParser::rate),
                    Map.entry("commitment", RuleParser::commitment),
                    Map.entry("price", RuleParser::price),
                    Map.entry("move", RuleParser::move)));

    private RuleParser() {}

    /** Returns the rules in the text, or all problems found in it. Takes time linear in the number of lines. */
    public static RuleParseResult parse(String fileName, String text) {
        if (text.getBytes(StandardCharsets.UTF_8).length > MAX_TEXT_BYTES) {
            return new RuleParseResult.Invalid(List.of(new RuleProblem(
                    fileName, 1, 1, "the file is too long", "at most " + MAX_TEXT_BYTES + " bytes of UTF-8")));
        }
        List<RuleProblem> problems = new ArrayList<>();
        List<RuleChecks.Located> rules = new ArrayList<>();
        for (RuleLine line : RuleLine.split(text)) {
            LineFields fields = LineFields.of(fileName, line);
            Rule.Source source = source(line, fields);
            String keyword = line.words().get(0).text();
            BiFunction<LineFields, Rule.Source, Rule> reader = RULE_READERS.get(keyword);
            if (reader == null) {
                fields.reportKeyword(
                        "unknown rule '" + keyword + "'", "one of " + String.join(", ", RULE_READERS.keySet()));
                problems.addAll(fields.problems());
                continue;
            }
            Rule rule = reader.apply(fields, source);
            List<RuleProblem> lineProblems = fields.finish();
            problems.addAll(lineProblems);
            rules.add(new RuleChecks.Located(rule, fileName, line, lineProblems.isEmpty()));
        }
        problems.addAll(RuleChecks.check(rules));
        if (!problems.isEmpty()) {
            problems.sort(RuleProblem.BY_POSITION);
            return new RuleParseResult.Invalid(problems);
        }
        return new RuleParseResult.Valid(
                RuleSet.of(rules.stream().map(RuleChecks.Located::rule).toList()));
    }

    /** Returns the origin of a rule from its closing comment, which is required. */
    private static Rule.Source source(RuleLine line, LineFields fields) {
        if (line.comment().isEmpty()) {
            fields.reportComment("the line does not say who asked for it", COMMENT_EXPECTED);
            return new Rule.Source(line.line(), "", "");
        }
        Matcher matcher = COMMENT.matcher(line.comment().get().text());
        if (!matcher.matches()) {
            fields.reportComment("the comment does not say who asked for the rule and why", COMMENT_EXPECTED);
            return new Rule.Source(line.line(), "", "");
        }
        return new Rule.Source(line.line(), matcher.group(1), matcher.group(2));
    }

    private static Rule workspace(LineFields fields, Rule.Source source) {
        return new Rule.Workspace(
                fields.name(), (int) fields.count("weight", 1, MAX_WEIGHT), fields.tiers("tiers"), source);
    }

    private static Rule key(LineFields fields, Rule.Source source) {
        return new Rule.Key(fields.name(), fields.sha256("sha256"), source);
    }

    private static Rule model(LineFields fields, Rule.Source source) {
        return new Rule.Model(fields.name(), fields.word("version"), fields.checksFencing("fencing"), source);
    }

    private static Rule service(LineFields fields, Rule.Source source) {
        return new Rule.Service(fields.name(), fields.path("path"), fields.checksFencing("fencing"), source);
    }

    private static Rule noRepeat(LineFields fields, Rule.Source source) {
        return new Rule.NoRepeat(fields.name(), fields.method("method"), fields.path("path"), source);
    }

    private static Rule upstream(LineFields fields, Rule.Source source) {
        if (!fields.has("fencing")) {
            fields.reportValue("fencing", "'fencing' is missing", "fencing= checked or ignored");
        }
        return new Rule.Upstream(fields.name(), fields.checksFencing("fencing"), source);
    }

    private static Rule kind(LineFields fields, Rule.Source source) {
        return new Rule.Kind(
                fields.name(),
                fields.word("target"),
                fields.optionalMethod("method"),
                fields.optionalPath("path"),
                fields.optionalCount("max-output", 1, MAX_TOKENS),
                fields.tier("tier"),
                fields.millis("deadline", 1, MAX_DEADLINE_MILLIS, "1ms to 24h, such as 90s"),
                (int) fields.count("output", 0, MAX_TOKENS),
                source);
    }

    private static Rule limit(LineFields fields, Rule.Source source) {
        String name = fields.name();
        for (Rule.LimitName limit : Rule.LimitName.values()) {
            if (limit.lowerCaseName().equals(name)) {
                long value = limit == Rule.LimitName.QUEUE
                        ? fields.count(limit.key(), limit.min(), limit.max())
                        : fields.bytes(limit.key(), limit.min(), limit.max());
                return new Rule.Limit(limit, value, source);
            }
        }
        fields.has("bytes");
        fields.has("length");
        fields.reportName("unknown limit '" + name + "'", "body, header or queue");
        return new Rule.Limit(Rule.LimitName.QUEUE, Rule.LimitName.QUEUE.min(), source);
    }

    private static Rule rate(LineFields fields, Rule.Source source) {
        Rule.Rate rate = new Rule.Rate(
                fields.name(),
                fields.optionalPerSecond("requests", MAX_PER_SECOND),
                fields.optionalPerSecond("tokens", MAX_PER_SECOND),
                source);
        if (rate.requestsPerSecond().isEmpty() && rate.tokensPerSecond().isEmpty()) {
            fields.reportValue("requests", "the rate has no bound", "requests= or tokens=, such as requests=50/s");
        }
        return rate;
    }

    private static Rule commitment(LineFields fields, Rule.Source source) {
        return new Rule.Commitment(
                fields.name(),
                fields.micros("spend"),
                fields.millis("period", DAY_MILLIS, MAX_PERIOD_MILLIS, "1d to 366d, such as 30d"),
                source);
    }

    private static Rule price(LineFields fields, Rule.Source source) {
        return new Rule.Price(fields.name(), fields.micros("per-1000-tokens"), source);
    }

    private static Rule move(LineFields fields, Rule.Source source) {
        Rule.Move move = new Rule.Move(
                fields.name(),
                fields.word("from"),
                fields.word("to"),
                fields.instant("by"),
                fields.basisPoints("canary", 1, MAX_CANARY_BASIS_POINTS, "0.01% to 2%"),
                source);
        if (move.from().equals(move.to()) && fields.has("from") && fields.has("to")) {
            fields.reportValue("to", "the move ends at the version it starts from", "another version");
        }
        return move;
    }
}

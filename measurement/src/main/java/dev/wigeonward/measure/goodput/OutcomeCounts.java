package dev.wigeonward.measure.goodput;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.Tier;

/** Counts of the outcomes of one simulation. Only the first outcome of a request is counted. */
final class OutcomeCounts {
    private final Map<Tier, Integer> offered = new EnumMap<>(Tier.class);
    private final Map<Tier, Integer> inTime = new EnumMap<>(Tier.class);
    private final Map<ErrorKind, Integer> failures = new EnumMap<>(ErrorKind.class);
    private final Map<RequestId, Job> unresolved =
            new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
    private long prefillTokens;
    private long wastedPrefillTokens;

    void recordOffered(Job job) {
        offered.merge(job.request().tier(), 1, Integer::sum);
        unresolved.put(job.request().id(), job);
    }

    /** Counts a complete answer, or an exceeded deadline if the answer is late. */
    void recordAnswer(Job job, long nowMillis) {
        if (nowMillis > job.request().deadlineMillis()) {
            recordFailure(job, ErrorKind.DEADLINE_EXCEEDED_RUNNING);
        } else if (unresolved.remove(job.request().id()) != null) {
            inTime.merge(job.request().tier(), 1, Integer::sum);
        }
    }

    void recordFailure(Job job, ErrorKind kind) {
        if (unresolved.remove(job.request().id()) != null) {
            failures.merge(kind, 1, Integer::sum);
        }
    }

    /** Counts prefilled tokens; they are wasted if their request was cancelled or finished after its deadline. */
    void recordPrefill(long tokens, boolean wasted) {
        prefillTokens += tokens;
        wastedPrefillTokens += wasted ? tokens : 0;
    }

    /** Returns the number of offered requests without an outcome. */
    int unresolvedCount() {
        return unresolved.size();
    }

    /** Returns the share of the tier's offered requests that were answered within their deadlines. */
    double goodput(Tier tier) {
        return (double) inTime.getOrDefault(tier, 0) / Math.max(1, offered.getOrDefault(tier, 0));
    }

    double totalGoodput() {
        return (double) sum(inTime) / Math.max(1, sum(offered));
    }

    double wastedPrefillShare() {
        return (double) wastedPrefillTokens / Math.max(1, prefillTokens);
    }

    int failures(ErrorKind kind) {
        return failures.getOrDefault(kind, 0);
    }

    private static int sum(Map<Tier, Integer> counts) {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }
}

package dev.wigeonward.measure.goodput;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.Tier;

/** Outcomes of one run. A request has exactly one outcome. */
final class Tally {
    private final Map<Tier, Integer> offered = new EnumMap<>(Tier.class);
    private final Map<Tier, Integer> inTime = new EnumMap<>(Tier.class);
    private final Map<ErrorKind, Integer> refusals = new EnumMap<>(ErrorKind.class);
    private final Map<RequestId, Job> open = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
    private long prefillTokens;
    private long wastedPrefillTokens;

    void offered(Job job) {
        offered.merge(job.request().tier(), 1, Integer::sum);
        open.put(job.request().id(), job);
    }

    /** Counts a complete answer; late ones are counted as missed. */
    void answered(Job job, long nowMillis) {
        if (nowMillis > job.request().deadlineMillis()) {
            refused(job, ErrorKind.DEADLINE_EXCEEDED_RUNNING);
        } else if (open.remove(job.request().id()) != null) {
            inTime.merge(job.request().tier(), 1, Integer::sum);
        }
    }

    void refused(Job job, ErrorKind kind) {
        if (open.remove(job.request().id()) != null) {
            refusals.merge(kind, 1, Integer::sum);
        }
    }

    void prefilled(long tokens, boolean wasted) {
        prefillTokens += tokens;
        wastedPrefillTokens += wasted ? tokens : 0;
    }

    int openCount() {
        return open.size();
    }

    double goodput(Tier tier) {
        return (double) inTime.getOrDefault(tier, 0) / Math.max(1, offered.getOrDefault(tier, 0));
    }

    double totalGoodput() {
        return (double) sum(inTime) / Math.max(1, sum(offered));
    }

    double wastedPrefillShare() {
        return (double) wastedPrefillTokens / Math.max(1, prefillTokens);
    }

    int refusals(ErrorKind kind) {
        return refusals.getOrDefault(kind, 0);
    }

    private static int sum(Map<Tier, Integer> counts) {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }
}

package dev.wigeonward.entry;

import java.time.Clock;
import java.util.random.RandomGenerator;

import dev.wigeonward.core.admission.FairShareAdmissionQueue;
import dev.wigeonward.core.admission.WorkspaceWeights;
import dev.wigeonward.core.dispatch.DispatchPolicies;
import dev.wigeonward.core.placement.DomainLatency;
import dev.wigeonward.core.placement.EarliestCompletion;
import dev.wigeonward.core.placement.KeyAffinity;
import dev.wigeonward.core.placement.PrefixIndex;
import dev.wigeonward.core.retry.RetryBudget;
import dev.wigeonward.core.rollout.ShareLimiter;
import dev.wigeonward.core.rollout.StageView;
import dev.wigeonward.core.rollout.VersionSelector;
import dev.wigeonward.core.rules.Rule;
import dev.wigeonward.core.suspect.SuspectPartTable;
import dev.wigeonward.core.suspect.SuspectTable;
import dev.wigeonward.core.suspect.SuspectTablePolicy;
import dev.wigeonward.exchange.CurrentRules;

/** Creates the dispatch policies of the entry process. */
final class Policies {
    /** Round-trip time between failure domains of a region, about twice the one-way latency of 1 to 1.5 ms. */
    private static final long REMOTE_DOMAIN_MILLIS = 3;

    private Policies() {}

    static DispatchPolicies of(
            String failureDomain,
            CurrentRules rules,
            WorkspaceWeights weights,
            PrefixIndex prefixes,
            SuspectTable suspects,
            SuspectPartTable suspectParts,
            StageView stages,
            RandomGenerator random,
            Clock clock) {
        EarliestCompletion placement =
                EarliestCompletion.create(random, prefixes, DomainLatency.uniform(failureDomain, REMOTE_DOMAIN_MILLIS));
        VersionSelector versions = new VersionSelector(stages, new ShareLimiter());
        return new DispatchPolicies(
                () -> FairShareAdmissionQueue.create(queueCapacity(rules), weights),
                placement,
                KeyAffinity.withFallback(placement),
                versions::select,
                RetryBudget.create(clock.millis()),
                SuspectTablePolicy.of(suspects, suspectParts));
    }

    private static int queueCapacity(CurrentRules rules) {
        long length =
                rules.current().map(set -> set.limit(Rule.LimitName.QUEUE)).orElse(Rule.LimitName.QUEUE.defaultValue());
        return Math.toIntExact(length);
    }
}

package dev.wigeonward.entry.control;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;

import dev.wigeonward.core.admission.WorkspaceWeights;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.rules.Rule;
import dev.wigeonward.core.rules.RuleSet;
import dev.wigeonward.core.spend.Spend;
import dev.wigeonward.core.spend.SpendLedger;
import dev.wigeonward.core.spend.SpendPeriod;
import dev.wigeonward.core.spend.SpendSnapshot;
import dev.wigeonward.exchange.CurrentRules;

/** Counts the spend of workspaces against their commitments, merged with the totals of the other entries. */
public final class SpendTracker implements UsageRecorder, WorkspaceWeights {
    private static final long WRITE_PERIOD_MILLIS = 30_000;
    private static final long TOKENS_PER_PRICE = 1_000;
    private static final SpendPeriod NO_PERIOD = new SpendPeriod("none", 0, Long.MAX_VALUE);

    private final CurrentRules rules;
    private final SpendStore store;
    private final Clock clock;
    private final SpendLedger ledger;
    private final ConcurrentLinkedQueue<SpendSnapshot> unmergedSnapshots = new ConcurrentLinkedQueue<>();
    private SpendPeriod period = NO_PERIOD;
    private boolean restored;
    private long nextWriteMillis;

    /** Creates a counter without any spend. */
    public SpendTracker(String entryId, CurrentRules rules, SpendStore store, Clock clock) {
        this.rules = rules;
        this.store = store;
        this.clock = clock;
        this.ledger = SpendLedger.create(entryId, NO_PERIOD);
    }

    @Override
    public void record(RequestSpec request, long promptTokens, long outputTokens) {
        long tokens = promptTokens + outputTokens;
        if (tokens == 0) {
            return;
        }
        long microsPerThousand = rules.current()
                .flatMap(set -> set.price(request.target()))
                .map(Rule.Price::microsPerThousandTokens)
                .orElse(0L);
        ledger.record(request.workspace(), new Spend(tokens, tokens * microsPerThousand / TOKENS_PER_PRICE));
    }

    @Override
    public int weight(String workspace) {
        return ledger.weight(workspace, rules.weight(workspace), clock.millis());
    }

    /** Replaces the commitments by those of new rules and counts in the longest of their periods. */
    void onRules(RuleSet set) {
        Map<String, Spend> commitments = new HashMap<>();
        List<Rule.Commitment> commitmentRules = set.workspaces().stream()
                .map(workspace -> set.commitment(workspace.name()))
                .flatMap(Optional::stream)
                .toList();
        commitmentRules.forEach(rule -> commitments.put(rule.workspace(), new Spend(0, rule.spendMicros())));
        ledger.setCommitments(commitments);
        commitmentRules.stream().mapToLong(Rule.Commitment::periodMillis).max().ifPresent(this::switchPeriod);
    }

    private void switchPeriod(long periodMillis) {
        long number = clock.millis() / periodMillis;
        String name = periodMillis + "-" + number;
        if (period.name().equals(name)) {
            return;
        }
        period = new SpendPeriod(name, number * periodMillis, (number + 1) * periodMillis);
        ledger.startPeriod(period);
        restored = false;
    }

    /**
     * Merges the totals that were read from the store and, once per write period, writes the totals of this entry and
     * reads those of all entries. Nothing is written before the first read of a period, whose answer contains the
     * totals that this entry wrote before a restart.
     */
    void onTick(long nowMillis) {
        for (SpendSnapshot snapshot = unmergedSnapshots.poll(); snapshot != null; snapshot = unmergedSnapshots.poll()) {
            if (snapshot.entryId().equals(ledger.entryId())) {
                ledger.restore(snapshot);
            } else {
                ledger.merge(snapshot);
            }
        }
        if (nowMillis < nextWriteMillis || period == NO_PERIOD) {
            return;
        }
        nextWriteMillis = nowMillis + WRITE_PERIOD_MILLIS;
        switchPeriod(period.endMillis() - period.startMillis());
        if (restored) {
            store.write(ledger.snapshot());
        }
        store.readAll(period.name(), snapshots -> {
            unmergedSnapshots.addAll(snapshots);
            restored = true;
        });
    }

    /** Returns tokens, cost and commitment of each workspace; amounts are in millionths of the currency unit. */
    Map<String, Object> report() {
        Map<String, Object> report = new TreeMap<>();
        rules.current().ifPresent(set -> set.workspaces().forEach(workspace -> {
            Spend spent = ledger.spendOf(workspace.name());
            long committed = set.commitment(workspace.name())
                    .map(Rule.Commitment::spendMicros)
                    .orElse(0L);
            report.put(
                    workspace.name(),
                    Map.of(
                            "tokens", spent.tokens(),
                            "cost_micros", spent.costMicros(),
                            "committed_micros", committed,
                            "behind_pace", ledger.isBehindPace(workspace.name(), clock.millis())));
        }));
        return report;
    }
}

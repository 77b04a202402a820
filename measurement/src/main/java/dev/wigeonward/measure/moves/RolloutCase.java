package dev.wigeonward.measure.moves;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerStages;
import dev.wigeonward.core.rollout.Stage;

/** Simulation of one case from the move rule to the end of the time in which the completed rollout is watched. */
final class RolloutCase implements SimulatedRollout.Publisher {
    static final String MODEL = "model";
    static final String OLD = "v1";
    static final String NEW = "v2";
    static final long STEP_MILLIS = 100;
    static final long SHARE_PERIOD_MILLIS = 5_000;

    private static final int ENTRIES = 5;
    private static final int AGENTS = 6;
    private static final int CANARY_BASIS_POINTS = 200;
    private static final long EVIDENCE_MILLIS = 1_000;
    /** Time after a verdict within which entries that can be reached may still send requests to the bad version. */
    private static final long REACHABLE_LIMIT_MILLIS = 2_000;
    /** The same for entries that cannot be reached. */
    private static final long UNREACHABLE_LIMIT_MILLIS = 10_000;
    /** Time after the verdict for which the simulation continues. */
    private static final long AFTER_VERDICT_MILLIS = 60_000;

    private final CaseScript script;
    private final SplittableRandom random;
    private final SimulatedRollout rollout;
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final Map<String, SimulatedAgent> agents = new LinkedHashMap<>();
    private final List<SimulatedAgent> agentList;
    private final List<BadVerdict> verdicts = new ArrayList<>();

    private final long[] requestsByRoute = new long[Route.ALL.size()];
    private final long[] newRequestsByRoute = new long[Route.ALL.size()];
    private final List<Double> shares = new ArrayList<>();
    private long periodRequests;
    private long periodNewRequests;
    private long nowMillis;
    private boolean hasFirstVerdict;
    private boolean hasGoodVerdict;
    private long completedMillis = -1;
    private long verdictMillis = -1;
    private long badSinceMillis = -1;
    private double largestEarlyShare;
    private long soonAfterVerdict;
    private long laterReachable;
    private long laterUnreachable;
    private long refusedRequests;

    private RolloutCase(CaseScript script, boolean controlled) {
        this.script = script;
        this.random = new SplittableRandom(script.seed() + 1);
        SimulatedStore store = new SimulatedStore(script.storeOutage(), random.split());
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new SimulatedEntry("e" + i, i == ENTRIES - 1 ? script.isolation() : Interval.NONE));
        }
        for (int i = 0; i < AGENTS; i++) {
            String id = "a" + i;
            agents.put(
                    id,
                    new SimulatedAgent(
                            id,
                            script,
                            random.split(),
                            () -> controlled ? store.leaseFencingNumber(nowMillis) : FixedRollout.FENCING_NUMBER));
        }
        this.agentList = List.copyOf(agents.values());
        this.rollout = controlled ? new ControlledRollout(script, store, agents) : new FixedRollout(agentList);
    }

    /** Simulates the case with the real controller and returns the result. */
    static CaseResult simulateControlled(CaseScript script) {
        return new RolloutCase(script, true).simulate();
    }

    /** Simulates the case with steps at fixed times and returns the result. */
    static CaseResult simulateFixed(CaseScript script) {
        return new RolloutCase(script, false).simulate();
    }

    @Override
    public void publish(ControllerStages stages) {
        int share =
                stages.stages().stream().mapToInt(Stage::shareBasisPoints).max().orElse(0);
        hasFirstVerdict |= share > CANARY_BASIS_POINTS;
        if (share == Stage.ALL_BASIS_POINTS && completedMillis < 0) {
            completedMillis = nowMillis;
        }
        hasGoodVerdict |=
                stages.stages().stream().anyMatch(Stage::hasGoodVerdict) && rollout instanceof ControlledRollout;
        send(Optional.of(stages));
    }

    @Override
    public void publish(BadVerdict verdict) {
        verdicts.add(verdict);
        hasFirstVerdict = true;
        if (verdictMillis < 0) {
            verdictMillis = nowMillis;
        }
        send(Optional.empty());
    }

    private CaseResult simulate() {
        while (!isOver()) {
            entries.forEach(entry -> entry.step(nowMillis));
            if (nowMillis == script.agentRestartMillis() / STEP_MILLIS * STEP_MILLIS) {
                agents.get("a0").restart();
            }
            Set<String> versions = new TreeSet<>();
            for (SimulatedAgent agent : agents.values()) {
                rollout.report(agent.step(nowMillis), nowMillis);
                versions.addAll(agent.versions());
                if (nowMillis % EVIDENCE_MILLIS == 0) {
                    rollout.report(agent.evidence(nowMillis), nowMillis);
                }
            }
            rollout.step(nowMillis, this);
            for (int route = 0; route < Route.ALL.size(); route++) {
                serve(route, versions);
            }
            observe(versions);
            nowMillis += STEP_MILLIS;
        }
        return new CaseResult(
                script,
                completedMillis,
                verdictMillis,
                verdicts.isEmpty() ? "" : verdicts.get(0).reason(),
                badSinceMillis,
                largestEarlyShare,
                soonAfterVerdict,
                laterReachable,
                laterUnreachable,
                refusedRequests,
                List.copyOf(shares));
    }

    private boolean isOver() {
        return hasGoodVerdict
                || completedMillis >= 0 && nowMillis >= completedMillis + CaseScript.WATCH_MILLIS
                || nowMillis >= CaseScript.END_MILLIS
                || verdictMillis >= 0 && nowMillis >= verdictMillis + AFTER_VERDICT_MILLIS;
    }

    private void serve(int routeIndex, Set<String> versions) {
        Route route = Route.ALL.get(routeIndex);
        double mean = route.requestsPerSecond() * STEP_MILLIS / 1_000.0;
        int count = (int) (mean * (0.5 + random.nextDouble()) + random.nextDouble());
        for (int i = 0; i < count; i++) {
            SimulatedEntry entry = entries.get(random.nextInt(ENTRIES));
            Optional<String> version = entry.select(route, versions, nowMillis);
            requestsByRoute[routeIndex]++;
            periodRequests++;
            if (version.isEmpty()) {
                refusedRequests++;
                continue;
            }
            if (version.get().equals(NEW)) {
                newRequestsByRoute[routeIndex]++;
                periodNewRequests++;
                countAfterVerdict(entry);
            }
            agentWith(version.get()).startRequest(route, version.get(), nowMillis);
        }
        if (!hasFirstVerdict) {
            double share = newRequestsByRoute[routeIndex] / (double) Math.max(1, requestsByRoute[routeIndex]);
            largestEarlyShare = Math.max(largestEarlyShare, share);
        }
    }

    private void countAfterVerdict(SimulatedEntry entry) {
        if (verdictMillis < 0) {
            return;
        }
        long sinceMillis = nowMillis - verdictMillis;
        if (sinceMillis <= REACHABLE_LIMIT_MILLIS) {
            soonAfterVerdict++;
        } else if (entry.isReachable(verdictMillis) && entry.isReachable(nowMillis)) {
            laterReachable++;
        } else if (sinceMillis > UNREACHABLE_LIMIT_MILLIS) {
            laterUnreachable++;
        }
    }

    private SimulatedAgent agentWith(String version) {
        int first = random.nextInt(AGENTS);
        for (int i = 0; i < AGENTS; i++) {
            SimulatedAgent agent = agentList.get((first + i) % AGENTS);
            if (agent.offers(version)) {
                return agent;
            }
        }
        throw new IllegalStateException("no agent offers version " + version + ", but at least one must");
    }

    private void observe(Set<String> versions) {
        if (badSinceMillis < 0 && versions.contains(NEW) && script.isBadNow(nowMillis)) {
            badSinceMillis = nowMillis;
        }
        if (nowMillis % SHARE_PERIOD_MILLIS == 0 && periodRequests > 0) {
            shares.add(periodNewRequests / (double) periodRequests);
            periodRequests = 0;
            periodNewRequests = 0;
        }
    }

    private void send(Optional<ControllerStages> stages) {
        for (SimulatedEntry entry : entries) {
            entry.send(stages, List.copyOf(verdicts), nowMillis + STEP_MILLIS);
        }
    }
}

package dev.wigeonward.verification.faults;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Stream;

import dev.wigeonward.core.revision.RelayEffect;
import dev.wigeonward.core.revision.RelayEvent;
import dev.wigeonward.core.revision.Revision;
import dev.wigeonward.core.revision.RevisionLog;
import dev.wigeonward.core.revision.RevisionRelay;
import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.core.revision.StoredRevision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulates concurrent configuration changes, relayed by six production relays, with faults at each step. */
class RevisionFlowTest {
    private static final int NODES = 6;
    private static final long SPREAD_MILLIS = 6_000;

    enum RevisionStep {
        HEAD_READ,
        HEAD_WRITTEN,
        STORE_SHOWN,
        OFFERED,
        REQUESTED,
        TEXT_SENT,
        ADOPTED
    }

    enum RevisionFault {
        NONE,
        NODE_REPLACED,
        NODE_FROZEN,
        READER_KILLED,
        LINKS_CUT,
        FRAMES_LATE,
        FRAMES_CROSSED,
        FRAMES_DUPLICATED,
        FRAMES_LOST,
        STORE_DOWN,
        STORE_REPLY_LOST,
        STORE_REGRESSION,
        OPERATORS_RACING
    }

    /** Guard that a mutation disables. */
    enum DisabledGuard {
        NONE,
        /** A restarted process loses its revision but counts as the same incarnation. */
        MEMORY,
        /** Adopted revisions have another text than the accepted one, with a matching hash. */
        TEXT,
        /** Processes relay nothing. */
        RELAY
    }

    /** Guards against a revision that reverts, differs between processes, or is not in force 6 s after all faults. */
    @ParameterizedTest(name = "{0} and {1}")
    @MethodSource("pairs")
    void acceptedRevisionIsInForceEverywhereAndNeverReverts(RevisionFault first, RevisionFault second) {
        for (RevisionStep step : RevisionStep.values()) {
            long seed = 100L * step.ordinal() + first.ordinal();
            assertThat(new Scenario(seed, step, List.of(first, second), DisabledGuard.NONE).simulate())
                    .as("%s and %s at %s, seed %d", first, second, step, seed)
                    .isEmpty();
        }
    }

    static Stream<Arguments> pairs() {
        return Arrays.stream(RevisionFault.values())
                .flatMap(first -> Arrays.stream(RevisionFault.values()).map(second -> Arguments.of(first, second)));
    }

    /** Verifies that the checks of invariant 9 fail when a guard is disabled. */
    @Test
    void checksFailWithoutTheGuards() {
        List<RevisionFault> faults = List.of(RevisionFault.STORE_REGRESSION, RevisionFault.NODE_REPLACED);
        assertThat(new Scenario(1, RevisionStep.ADOPTED, faults, DisabledGuard.NONE).simulate())
                .isEmpty();
        assertThat(new Scenario(1, RevisionStep.ADOPTED, faults, DisabledGuard.MEMORY).simulate())
                .anyMatch(violation -> violation.contains("went down"));
        assertThat(new Scenario(1, RevisionStep.OFFERED, faults, DisabledGuard.TEXT).simulate())
                .anyMatch(violation -> violation.contains("other text"));
        assertThat(new Scenario(1, RevisionStep.OFFERED, faults, DisabledGuard.RELAY).simulate())
                .anyMatch(violation -> violation.contains("late"));
    }

    /** Simulated process; a restart replaces its relay and resets the highest adopted number. */
    private static final class Process {
        private RevisionRelay relay;
        private int starts;
        private long highest;
        private long frozenUntilMillis;
        private boolean killed;
    }

    private static final class Scenario extends EventScheduler {
        private final Random random;
        private final RevisionStep faultStep;
        private final List<RevisionFault> faults;
        private final DisabledGuard disabledGuard;
        private final List<Process> processes = new ArrayList<>();
        private final TreeMap<Long, Revision> accepted = new TreeMap<>();
        private final List<String> violations = new ArrayList<>();
        private boolean faultsInjected;
        private long lastFaultEndMillis;
        private long storeDownUntilMillis;
        private boolean replyLost;
        private long regressionUntilMillis;
        private long cutUntilMillis;
        private long lateUntilMillis;
        private long lossUntilMillis;
        private boolean reordered;
        private boolean duplicated;

        private Scenario(long seed, RevisionStep faultStep, List<RevisionFault> faults, DisabledGuard disabledGuard) {
            this.random = new Random(seed);
            this.faultStep = faultStep;
            this.faults = faults;
            this.disabledGuard = disabledGuard;
            for (int i = 0; i < NODES; i++) {
                processes.add(new Process());
                start(i);
            }
        }

        private List<String> simulate() {
            scheduleOperator("op1", 500);
            scheduleOperator("op2", 900);
            for (int i = 0; i < NODES; i++) {
                tick(i);
            }
            runFor(16_000);
            long endMillis = Math.max(now(), lastFaultEndMillis) + SPREAD_MILLIS;
            runFor(endMillis - now());
            for (int i = 0; i < NODES; i++) {
                Process process = processes.get(i);
                long number = process.relay.current().map(Revision::number).orElse(0L);
                if (!process.killed && number != accepted.lastKey()) {
                    violations.add("9: late: " + number + " in force at " + i + ", not " + accepted.lastKey());
                }
            }
            return violations;
        }

        private void start(int node) {
            Process process = processes.get(node);
            process.relay = RevisionRelay.create(RevisionLog.create(16, 4_000_000), new Random(random.nextLong()));
            if (disabledGuard != DisabledGuard.MEMORY) {
                process.highest = 0;
            }
            process.starts++;
            for (int distance : new int[] {1, 2}) {
                link(node, (node + distance) % NODES);
                link(node, (node + NODES - distance) % NODES);
            }
        }

        private void link(int from, int to) {
            deliver(from, new RelayEvent.LinkUp("n" + to));
            if (to < processes.size()) {
                deliver(to, new RelayEvent.LinkDown("n" + from));
                deliver(to, new RelayEvent.LinkUp("n" + from));
            }
        }

        private void tick(int node) {
            after(100, () -> {
                deliver(node, new RelayEvent.Tick());
                if (now() / 100 % 10 == 0) {
                    processes.get(node).relay.current().ifPresent(current -> {
                        for (int distance : new int[] {1, 2}) {
                            send(node, (node + distance) % NODES, heartbeat(node, current));
                            send(node, (node + NODES - distance) % NODES, heartbeat(node, current));
                        }
                    });
                }
                boolean reads = node < 2 && now() >= storeDownUntilMillis && !accepted.isEmpty();
                if (reads) {
                    readStore(node);
                }
                tick(node);
            });
        }

        private static RelayEvent heartbeat(int node, Revision current) {
            return new RelayEvent.HeartbeatArrived("n" + node, current.number(), current.hash());
        }

        private void readStore(int node) {
            reached(RevisionStep.STORE_SHOWN, node);
            Revision shown = now() < regressionUntilMillis
                    ? accepted.firstEntry().getValue()
                    : accepted.lastEntry().getValue();
            deliver(
                    node,
                    new RelayEvent.StoreReadCompleted(
                            new RevisionStore.HeadResult.Found(new StoredRevision(shown, "id", 0))));
        }

        private void scheduleOperator(String name, long delayMillis) {
            after(delayMillis, () -> {
                if (now() > 12_000) {
                    return;
                }
                reached(RevisionStep.HEAD_READ, 0);
                long read = accepted.isEmpty() ? 0 : accepted.lastKey();
                after(30, () -> write(name, read, 1));
                scheduleOperator(name, 1_500);
            });
        }

        /** Writes head by compare-and-swap; after a lost reply the write is repeated, which then changes nothing. */
        private void write(String name, long expected, int attempt) {
            if (now() < storeDownUntilMillis) {
                return;
            }
            reached(RevisionStep.HEAD_WRITTEN, 0);
            long head = accepted.isEmpty() ? 0 : accepted.lastKey();
            String text = "line by " + name + "\nnumber " + (expected + 1) + "\n";
            if (head == expected) {
                accepted.put(expected + 1, Revision.of(expected + 1, text, name, "test"));
            }
            boolean again = replyLost && attempt == 1;
            if (again) {
                replyLost = false;
                after(500, () -> write(name, expected, 2));
            }
        }

        private void send(int from, int to, RelayEvent event) {
            boolean lost = now() < cutUntilMillis && (from == 2 || to == 2)
                    || now() < lossUntilMillis && random.nextInt(3) == 0;
            if (lost) {
                return;
            }
            long delayMillis = 1 + (now() < lateUntilMillis ? 2_000 : 0) + (reordered ? random.nextInt(300) : 0);
            after(delayMillis, () -> deliver(to, event));
            if (duplicated) {
                after(delayMillis + 700, () -> deliver(to, event));
            }
        }

        private void deliver(int node, RelayEvent event) {
            Process process = processes.get(node);
            if (process.killed) {
                return;
            }
            if (now() < process.frozenUntilMillis) {
                after(process.frozenUntilMillis - now(), () -> deliver(node, event));
                return;
            }
            int starts = process.starts;
            for (RelayEffect effect : process.relay.handle(event, now())) {
                if (process.starts == starts) {
                    execute(node, effect);
                }
            }
        }

        private void execute(int node, RelayEffect effect) {
            String self = "n" + node;
            if (effect instanceof RelayEffect.Adopt adopt) {
                adopted(node, adopt.revision());
            } else if (disabledGuard == DisabledGuard.RELAY) {
                return;
            } else if (effect instanceof RelayEffect.SendOffer offer) {
                reached(RevisionStep.OFFERED, node);
                send(node, index(offer.peer()), new RelayEvent.OfferArrived(self, offer.number(), offer.hash()));
            } else if (effect instanceof RelayEffect.SendRequest request) {
                reached(RevisionStep.REQUESTED, node);
                send(
                        node,
                        index(request.peer()),
                        new RelayEvent.RequestArrived(self, request.baseNumber(), request.baseHash()));
            } else if (effect instanceof RelayEffect.SendDelta delta) {
                reached(RevisionStep.TEXT_SENT, node);
                send(node, index(delta.peer()), new RelayEvent.DeltaArrived(self, delta.delta()));
            } else if (effect instanceof RelayEffect.SendSnapshotPart part) {
                reached(RevisionStep.TEXT_SENT, node);
                send(node, index(part.peer()), new RelayEvent.SnapshotPartArrived(self, part.part()));
            }
        }

        private static int index(String peer) {
            return Integer.parseInt(peer.substring(1));
        }

        private void adopted(int node, Revision revision) {
            Process process = processes.get(node);
            if (revision.number() < process.highest) {
                violations.add("9: number went down from " + process.highest + " to " + revision.number());
            }
            process.highest = revision.number();
            String text = disabledGuard == DisabledGuard.TEXT ? revision.text() + "damaged" : revision.text();
            if (!accepted.get(revision.number()).text().equals(text)) {
                violations.add("9: other text of " + revision.number() + " in force at " + node);
            }
            reached(RevisionStep.ADOPTED, node);
        }

        private void reached(RevisionStep step, int node) {
            if (faultsInjected || step != faultStep || now() < 4_000) {
                return;
            }
            faultsInjected = true;
            faults.forEach(fault -> inject(fault, node));
        }

        private void inject(RevisionFault fault, int node) {
            long untilMillis = now() + 4_000;
            switch (fault) {
                case NODE_REPLACED -> start(node);
                case NODE_FROZEN -> processes.get(node).frozenUntilMillis = untilMillis;
                case READER_KILLED -> processes.get(0).killed = true;
                case LINKS_CUT -> cutUntilMillis = untilMillis;
                case FRAMES_LATE -> lateUntilMillis = untilMillis;
                case FRAMES_CROSSED -> reordered = true;
                case FRAMES_DUPLICATED -> duplicated = true;
                case FRAMES_LOST -> lossUntilMillis = untilMillis;
                case STORE_DOWN -> storeDownUntilMillis = untilMillis;
                case STORE_REPLY_LOST -> replyLost = true;
                case STORE_REGRESSION -> regressionUntilMillis = untilMillis;
                case OPERATORS_RACING -> {
                    long head = accepted.isEmpty() ? 0 : accepted.lastKey();
                    after(1, () -> write("op3", head, 1));
                    after(1, () -> write("op4", head, 1));
                }
                default -> {
                    // No fault.
                }
            }
            lastFaultEndMillis = Math.max(lastFaultEndMillis, untilMillis + 2_000);
        }
    }
}

package dev.wigeonward.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

import dev.wigeonward.core.membership.MembershipEffect.StartDispatch;
import dev.wigeonward.core.membership.MembershipEffect.StopDispatch;
import dev.wigeonward.core.membership.MembershipEvent.FrameArrived;
import dev.wigeonward.core.membership.MembershipEvent.LeavingAnnounced;
import dev.wigeonward.core.membership.MembershipEvent.LinkDown;
import dev.wigeonward.core.membership.MembershipEvent.LinkUp;
import dev.wigeonward.core.membership.MembershipEvent.Tick;
import dev.wigeonward.core.membership.MembershipEvent.VmsListed;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Test of invariant 7: a leaving upstream receives no new requests after 3 s, whichever signal arrives. */
class DepartureInvariantTest {
    private static final long LIMIT_MILLIS = 3_000;
    private static final int AGENTS = 3;
    private static final int STEPS = 400;

    /** Faults of the membership, each of which must violate the invariant. */
    private enum Fault {
        IGNORES_ANNOUNCEMENTS,
        IGNORES_VM_LIST,
        IGNORES_LINK_TIMEOUTS,
        RESUMES_LISTED_AGENTS
    }

    /** Returns the event that the faulty membership receives in place of the given one, or null if it receives none. */
    private static MembershipEvent applyFault(Fault fault, MembershipEvent event) {
        return switch (fault) {
            case IGNORES_ANNOUNCEMENTS -> event instanceof LeavingAnnounced ? null : event;
            case IGNORES_VM_LIST ->
                event instanceof VmsListed listed
                        ? new VmsListed(
                                listed.sequence(),
                                listed.vms().stream()
                                        .map(vm -> withLeaving(vm, false))
                                        .toList())
                        : event;
            case IGNORES_LINK_TIMEOUTS -> event instanceof Tick ? null : event;
            case RESUMES_LISTED_AGENTS -> event;
        };
    }

    private static ListedVm withLeaving(ListedVm vm, boolean leaving) {
        return new ListedVm(vm.id(), vm.role(), vm.pool(), vm.address(), leaving);
    }

    /** A random sequence of events at one entry, with the agents that the entry would dispatch to. */
    private static final class History {
        private final Random random;
        private final UpstreamMembership membership;
        private final Function<MembershipEvent, MembershipEvent> filter;
        private final boolean resumesListed;
        /** Whether the adapter uses a new link before it consults the membership, as the dispatcher does. */
        private final boolean startsOnLinkUp;

        private final Map<String, Long> inUse = new HashMap<>();
        private final Map<String, Long> signalAtMillis = new HashMap<>();
        private final Map<String, Long> lastFrameMillis = new HashMap<>();
        private final long[] incarnations = new long[AGENTS];
        private final Set<Integer> listedLeaving = new HashSet<>();
        private final boolean[] up = new boolean[AGENTS];
        private final boolean[] silent = new boolean[AGENTS];
        private long sequence;
        private long nowMillis;

        private History(
                long seed,
                Function<MembershipEvent, MembershipEvent> filter,
                boolean resumesListed,
                boolean startsOnLinkUp) {
            this.random = new Random(seed);
            this.membership = UpstreamMembership.create("e", new Random(seed + 1));
            this.filter = filter;
            this.resumesListed = resumesListed;
            this.startsOnLinkUp = startsOnLinkUp;
        }

        private void run() {
            sendList();
            for (int step = 0; step < STEPS; step++) {
                nowMillis += random.nextLong(UpstreamMembership.MAX_TICK_MILLIS) + 1;
                step(random.nextInt(AGENTS));
                for (int agent = 0; agent < AGENTS; agent++) {
                    if (up[agent] && !silent[agent]) {
                        sendFrame(agent);
                    }
                }
                send(new Tick());
                checkNoDepartedAgentInUse();
            }
        }

        private void step(int agent) {
            switch (random.nextInt(14)) {
                case 0 -> sendLeaving(agent);
                case 1 -> {
                    if (listedLeaving.add(agent)) {
                        signal(agent);
                    }
                    sendList();
                }
                case 2 -> {
                    listedLeaving.remove(agent);
                    sendList();
                }
                case 3 -> silent[agent] = true;
                case 4 -> {
                    up[agent] = false;
                    send(new LinkDown("a" + agent));
                }
                case 5 -> {
                    up[agent] = false;
                    incarnations[agent] = random.nextLong();
                }
                default -> sendLinkUp(agent);
            }
        }

        private void sendLeaving(int agent) {
            if (up[agent]) {
                signal(agent);
                send(new LeavingAnnounced("a" + agent, incarnations[agent]));
            }
        }

        private void signal(int agent) {
            if (lastFrameMillis.containsKey(key(agent))) {
                signalAtMillis.putIfAbsent(key(agent), nowMillis);
            }
        }

        private void sendLinkUp(int agent) {
            up[agent] = true;
            silent[agent] = false;
            lastFrameMillis.put(key(agent), nowMillis);
            if (listedLeaving.contains(agent)) {
                signal(agent);
            }
            if (startsOnLinkUp) {
                inUse.put("a" + agent, incarnations[agent]);
            }
            send(new LinkUp("a" + agent, incarnations[agent]));
        }

        private void sendFrame(int agent) {
            lastFrameMillis.put(key(agent), nowMillis);
            send(new FrameArrived("a" + agent, incarnations[agent]));
        }

        private void sendList() {
            List<ListedVm> vms = new ArrayList<>();
            for (int agent = 0; agent < AGENTS; agent++) {
                boolean leaving = listedLeaving.contains(agent);
                vms.add(new ListedVm("a" + agent, ListedVm.Role.AGENT, "model", "10.0.0.2:90", leaving));
            }
            send(new VmsListed(++sequence, vms));
            if (resumesListed) {
                for (int agent = 0; agent < AGENTS; agent++) {
                    if (up[agent] && !listedLeaving.contains(agent)) {
                        inUse.put("a" + agent, incarnations[agent]);
                    }
                }
            }
        }

        private void send(MembershipEvent event) {
            MembershipEvent filtered = filter.apply(event);
            if (filtered == null) {
                return;
            }
            for (MembershipEffect effect : membership.handle(filtered, nowMillis)) {
                if (effect instanceof StartDispatch start) {
                    inUse.put(start.upstreamId(), start.incarnation());
                } else if (effect instanceof StopDispatch stop) {
                    boolean stopped = inUse.remove(stop.upstreamId(), stop.incarnation());
                    assertThat(stopped || startsOnLinkUp || !inUse.containsKey(stop.upstreamId()))
                            .as("%s stopped while another incarnation is in use", stop)
                            .isTrue();
                }
            }
        }

        private void checkNoDepartedAgentInUse() {
            inUse.forEach((upstream, incarnation) -> {
                String key = upstream + "/" + incarnation;
                long signalMillis =
                        Math.min(signalAtMillis.getOrDefault(key, Long.MAX_VALUE), lastFrameMillis.get(key));
                assertThat(nowMillis - signalMillis)
                        .as("%s in use %s ms after its departure", key, nowMillis - signalMillis)
                        .isLessThanOrEqualTo(LIMIT_MILLIS);
            });
        }

        private String key(int agent) {
            return "a" + agent + "/" + incarnations[agent];
        }
    }

    @Property(tries = 300)
    void noNewRequestsThreeSecondsAfterAnySignal(@ForAll long seed, @ForAll boolean startsOnLinkUp) {
        new History(seed, event -> event, false, startsOnLinkUp).run();
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void checkFailsForFaultyMembership(Fault fault) {
        assertThatThrownBy(() -> {
                    for (long seed = 0; seed < 50; seed++) {
                        new History(
                                        seed,
                                        event -> applyFault(fault, event),
                                        fault == Fault.RESUMES_LISTED_AGENTS,
                                        false)
                                .run();
                    }
                })
                .isInstanceOf(AssertionError.class);
    }
}

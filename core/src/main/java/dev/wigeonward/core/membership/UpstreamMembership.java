package dev.wigeonward.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.membership.MembershipEffect.CloseLink;
import dev.wigeonward.core.membership.MembershipEffect.OpenLink;
import dev.wigeonward.core.membership.MembershipEffect.Replaced;
import dev.wigeonward.core.membership.MembershipEffect.StartDispatch;
import dev.wigeonward.core.membership.MembershipEffect.StopDispatch;
import dev.wigeonward.core.membership.MembershipEvent.FrameArrived;
import dev.wigeonward.core.membership.MembershipEvent.LeavingAnnounced;
import dev.wigeonward.core.membership.MembershipEvent.LinkDown;
import dev.wigeonward.core.membership.MembershipEvent.LinkUp;
import dev.wigeonward.core.membership.MembershipEvent.VmsListed;
import dev.wigeonward.core.placement.LinkSubset;

/**
 * State machine of one entry that decides to which agents the entry keeps links and which of them receive new requests.
 * Any one of three signals stops new requests: the agent's announcement, the VM list, or a link without frames. Not
 * thread-safe.
 *
 * <p>A departure is final for an incarnation: a VM list that lags behind the agent's announcement does not revert it.
 */
public final class UpstreamMembership {
    /** Time without a frame after which a link has timed out and its upstream is suspect, in milliseconds. */
    public static final long LINK_TIMEOUT_MILLIS = 2_500;

    /**
     * Longest time between ticks, in milliseconds. Together with the link timeout it is below the 3 s of invariant 7,
     * after which a leaving upstream must receive no new requests.
     */
    public static final long MAX_TICK_MILLIS = 250;

    /** Time after which an unanswered connection attempt is abandoned, in milliseconds. */
    static final long CONNECT_TIMEOUT_MILLIS = 5_000;

    private final String entryId;
    private final RandomGenerator random;
    private final Map<String, Member> members = new TreeMap<>();
    private final Set<String> listedEntries = new TreeSet<>();
    private final Map<String, Set<String>> listedAgentsByPool = new TreeMap<>();
    /** Ids of the listed upstreams to which this entry keeps links. */
    private Set<String> subset = Set.of();

    private boolean listRead;
    private long lastSequence;

    private UpstreamMembership(String entryId, RandomGenerator random) {
        Preconditions.checkArgument(!entryId.isEmpty(), "entryId is empty");
        this.entryId = entryId;
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Returns an instance for an entry that knows no upstream yet. */
    public static UpstreamMembership create(String entryId, RandomGenerator random) {
        return new UpstreamMembership(entryId, random);
    }

    /** Applies an event and returns its effects, in the order in which they must be carried out. */
    public List<MembershipEffect> handle(MembershipEvent event, long nowMillis) {
        List<MembershipEffect> effects = new ArrayList<>();
        if (event instanceof VmsListed listed) {
            onVmsListed(listed, nowMillis, effects);
        } else if (event instanceof LeavingAnnounced leaving) {
            onLeavingAnnounced(leaving, effects);
        } else if (event instanceof LinkUp up) {
            onLinkUp(up, nowMillis, effects);
        } else if (event instanceof LinkDown down) {
            onLinkDown(down, nowMillis, effects);
        } else if (event instanceof FrameArrived frame) {
            onFrameArrived(frame, nowMillis);
        } else {
            onTick(nowMillis, effects);
        }
        return effects;
    }

    /**
     * Returns whether the incarnation may receive new requests now; false as soon as its link has timed out, even if no
     * tick has detected that yet.
     */
    public boolean acceptsRequests(String upstreamId, long incarnation, long nowMillis) {
        Member member = members.get(upstreamId);
        return member != null
                && member.isCurrent(incarnation)
                && member.state() == MemberState.LIVE
                && !member.linkTimedOutAt(nowMillis);
    }

    /** Returns the state of an incarnation, or {@code DEAD} if it is unknown. */
    public MemberState state(String upstreamId, long incarnation) {
        Member member = members.get(upstreamId);
        if (member == null) {
            return MemberState.DEAD;
        }
        if (member.isReplaced(incarnation)) {
            return MemberState.REPLACED;
        }
        return member.isCurrent(incarnation) || member.state() == MemberState.JOINING
                ? member.state()
                : MemberState.DEAD;
    }

    /** Returns the latest time at which the next tick is due, in milliseconds; this time may have passed. */
    public long nextTickMillis() {
        return members.values().stream().mapToLong(Member::nextTickMillis).min().orElse(Member.NEVER_MILLIS);
    }

    private void onVmsListed(VmsListed event, long nowMillis, List<MembershipEffect> effects) {
        if (listRead && event.sequence() <= lastSequence) {
            return;
        }
        listRead = true;
        lastSequence = event.sequence();
        Map<String, ListedVm> agents = new HashMap<>();
        event.vms().stream().filter(vm -> vm.role() == ListedVm.Role.AGENT).forEach(vm -> agents.put(vm.id(), vm));
        updateSubset(event.vms());
        for (Member member : List.copyOf(members.values())) {
            MemberState before = member.state();
            ListedVm vm = agents.get(member.upstreamId());
            if (vm == null) {
                member.onUnlisted();
            } else {
                member.onListed(vm);
            }
            emitDispatchChange(member, before, effects);
            boolean outsideSubset = vm != null && !vm.leaving() && !subset.contains(vm.id());
            if (outsideSubset || member.isUnlistedAndUnlinked()) {
                remove(member, effects);
            }
        }
        for (String upstreamId : subset) {
            members.computeIfAbsent(upstreamId, id -> Member.joining(agents.get(id), random, nowMillis));
        }
    }

    /** Recomputes the subset if an entry or agent joined or left; skipped otherwise, as it visits all pairs of them. */
    private void updateSubset(List<ListedVm> vms) {
        Set<String> entries = new TreeSet<>();
        Map<String, Set<String>> agentsByPool = new TreeMap<>();
        for (ListedVm vm : vms) {
            if (vm.leaving()) {
                continue;
            }
            if (vm.role() == ListedVm.Role.ENTRY) {
                entries.add(vm.id());
            } else {
                agentsByPool.computeIfAbsent(vm.pool(), pool -> new TreeSet<>()).add(vm.id());
            }
        }
        if (entries.equals(listedEntries) && agentsByPool.equals(listedAgentsByPool)) {
            return;
        }
        listedEntries.clear();
        listedEntries.addAll(entries);
        listedAgentsByPool.clear();
        listedAgentsByPool.putAll(agentsByPool);
        Set<String> linked = new HashSet<>();
        agentsByPool.values().forEach(agents -> linked.addAll(LinkSubset.selectAgents(entryId, entries, agents)));
        subset = new TreeSet<>(linked);
    }

    private void onLeavingAnnounced(LeavingAnnounced event, List<MembershipEffect> effects) {
        Member member = members.get(event.upstreamId());
        if (member == null || !member.isCurrent(event.incarnation())) {
            return;
        }
        MemberState before = member.state();
        member.onLeaving();
        emitDispatchChange(member, before, effects);
    }

    private void onLinkUp(LinkUp event, long nowMillis, List<MembershipEffect> effects) {
        Member member = members.get(event.upstreamId());
        if (member == null) {
            effects.add(new CloseLink(event.upstreamId()));
            return;
        }
        if (member.isReplaced(event.incarnation())) {
            effects.add(new StopDispatch(event.upstreamId(), event.incarnation(), MemberState.REPLACED));
            onLinkDown(new LinkDown(event.upstreamId()), nowMillis, effects);
            return;
        }
        MemberState before = member.state();
        long oldIncarnation = member.incarnation();
        boolean replaces = member.isReplacedBy(event.incarnation());
        if (replaces) {
            if (before == MemberState.LIVE) {
                effects.add(new StopDispatch(member.upstreamId(), oldIncarnation, MemberState.REPLACED));
            }
            effects.add(new Replaced(member.upstreamId(), oldIncarnation, event.incarnation()));
        }
        member.onLinkUp(event.incarnation(), nowMillis);
        emitDispatchChange(member, replaces ? MemberState.JOINING : before, effects);
        if (member.state() == MemberState.LEAVING) {
            // An adapter may dispatch over a new link before it consults this class.
            effects.add(new StopDispatch(member.upstreamId(), member.incarnation(), MemberState.LEAVING));
        }
    }

    private void onLinkDown(LinkDown event, long nowMillis, List<MembershipEffect> effects) {
        Member member = members.get(event.upstreamId());
        if (member != null) {
            handleLinkLoss(member, nowMillis, effects);
        }
    }

    private void onFrameArrived(FrameArrived event, long nowMillis) {
        Member member = members.get(event.upstreamId());
        if (member != null && member.isCurrent(event.incarnation())) {
            member.onFrame(nowMillis);
        }
    }

    private void onTick(long nowMillis, List<MembershipEffect> effects) {
        for (Member member : List.copyOf(members.values())) {
            if (member.linkTimedOutAt(nowMillis)) {
                handleLinkLoss(member, nowMillis, effects);
            }
            if (member.connectionDueAt(nowMillis) && !member.isUnlistedAndUnlinked()) {
                member.onConnecting(nowMillis);
                effects.add(new OpenLink(member.upstreamId(), member.address()));
            }
        }
    }

    private void handleLinkLoss(Member member, long nowMillis, List<MembershipEffect> effects) {
        MemberState before = member.state();
        member.onLinkLost(nowMillis);
        emitDispatchChange(member, before, effects);
        if (member.isUnlistedAndUnlinked()) {
            remove(member, effects);
        }
    }

    private void remove(Member member, List<MembershipEffect> effects) {
        if (member.state() == MemberState.LIVE) {
            effects.add(new StopDispatch(member.upstreamId(), member.incarnation(), MemberState.DEAD));
        }
        members.remove(member.upstreamId());
        effects.add(new CloseLink(member.upstreamId()));
    }

    private static void emitDispatchChange(Member member, MemberState before, List<MembershipEffect> effects) {
        MemberState after = member.state();
        if (before != MemberState.LIVE && after == MemberState.LIVE) {
            effects.add(new StartDispatch(member.upstreamId(), member.incarnation()));
        } else if (before == MemberState.LIVE && after != MemberState.LIVE) {
            effects.add(new StopDispatch(member.upstreamId(), member.incarnation(), after));
        }
    }
}

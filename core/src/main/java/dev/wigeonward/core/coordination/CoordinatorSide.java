package dev.wigeonward.core.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

import dev.wigeonward.core.schedule.Decision;
import dev.wigeonward.core.schedule.RefusalReason;
import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.core.schedule.ServiceScheduler.Outcome;
import dev.wigeonward.core.schedule.Upstream;

/**
 * Coordinator side of one entry: offers the requests that members ask about to its own schedulers and returns their
 * decisions. It answers each ask that it receives, also if it does not consider itself the coordinator. Not
 * thread-safe.
 */
public final class CoordinatorSide {
    /** Silence towards a member with open asks after which a beat is due; with the period of ticks at most 50 ms. */
    private static final long BEAT_AFTER_MILLIS = 30;
    /** Time after the deadline of a granted request after which its end counts as lost. */
    private static final long END_OVERDUE_MILLIS = 1_000;

    private static final long EXPIRY_CHECK_MILLIS = 1_000;

    private final Function<String, ServiceScheduler> schedulers;
    private final Consumer<CoordinationEffect> effects;
    private final Map<String, Member> members = new HashMap<>();
    /** Requests of members that wait in a scheduler. */
    private final Map<ScheduledRequest, Ask> openAsks = new HashMap<>();

    private final Map<String, Integer> openCounts = new HashMap<>();
    private long expiryCheckedAtMillis;

    private CoordinatorSide(Function<String, ServiceScheduler> schedulers, Consumer<CoordinationEffect> effects) {
        this.schedulers = schedulers;
        this.effects = effects;
    }

    /**
     * Returns a coordinator side without asks.
     *
     * @param schedulers returns the scheduler of a service
     * @param effects receives what this entry is to do
     */
    public static CoordinatorSide create(
            Function<String, ServiceScheduler> schedulers, Consumer<CoordinationEffect> effects) {
        return new CoordinatorSide(schedulers, effects);
    }

    /** Handles a message of a member. */
    public void onMessage(String entry, MemberMessage message, long nowMillis) {
        if (message instanceof MemberMessage.Ask ask) {
            onAsk(members.computeIfAbsent(entry, Member::new), ask, nowMillis);
            return;
        }
        Member member = members.get(entry);
        if (member == null) {
            return;
        }
        if (message instanceof MemberMessage.Withdrawal withdrawal) {
            withdraw(member.open.remove(withdrawal.number()));
        } else if (message instanceof MemberMessage.Progress progress) {
            Ask granted = member.granted.get(progress.number());
            if (granted != null) {
                schedulers.apply(granted.service).onFirstEvent(granted.request, nowMillis);
            }
        } else if (message instanceof MemberMessage.End end) {
            end(member.granted.remove(end.number()), end.outcome(), nowMillis);
        }
    }

    private void onAsk(Member member, MemberMessage.Ask message, long nowMillis) {
        Ask granted = member.granted.get(message.number());
        if (granted != null) {
            grant(granted, granted.request.upstream().orElseThrow(), nowMillis);
            return;
        }
        if (member.open.containsKey(message.number())) {
            return;
        }
        ScheduledRequest request = ScheduledRequest.ofPeer(message.request(), nowMillis);
        ServiceScheduler scheduler = schedulers.apply(message.service());
        Ask ask = new Ask(member, message.number(), message.service(), request);
        if (scheduler.isRefused(request, nowMillis)) {
            refuse(ask, RefusalReason.SUSPECT_PART, 0, nowMillis);
            return;
        }
        member.open.put(message.number(), ask);
        openAsks.put(request, ask);
        openCounts.merge(message.service(), 1, Integer::sum);
        scheduler.offer(request);
        effects.accept(new CoordinationEffect.RunRound());
    }

    private void withdraw(Ask ask) {
        if (ask != null) {
            removeOpen(ask.request);
            schedulers.apply(ask.service).remove(ask.request);
        }
    }

    private void end(Ask ask, Outcome outcome, long nowMillis) {
        if (ask != null) {
            schedulers.apply(ask.service).onEnded(ask.request, outcome, nowMillis);
            effects.accept(new CoordinationEffect.RunRound());
        }
    }

    /** Sends the decision on a request to its member; returns false if the request is one of this entry. */
    public boolean onDecision(Decision decision, long nowMillis) {
        if (decision instanceof Decision.Placed placed) {
            Ask ask = removeOpen(placed.request());
            if (ask == null) {
                return false;
            }
            ask.member.open.remove(ask.number);
            ask.member.granted.put(ask.number, ask);
            grant(ask, placed.upstream(), nowMillis);
            return true;
        }
        Decision.Refused refused = (Decision.Refused) decision;
        Ask ask = removeOpen(refused.request());
        if (ask == null) {
            return false;
        }
        ask.member.open.remove(ask.number);
        refuse(ask, refused.reason(), refused.returnAfterMillis(), nowMillis);
        return true;
    }

    private void grant(Ask ask, Upstream upstream, long nowMillis) {
        send(
                ask.member,
                new CoordinatorMessage.Grant(ask.number, upstream.lifetimeId(), ask.request.keptPromptTokens()),
                nowMillis);
    }

    private void refuse(Ask ask, RefusalReason reason, long returnAfterMillis, long nowMillis) {
        send(ask.member, new CoordinatorMessage.Refusal(ask.number, reason, returnAfterMillis), nowMillis);
    }

    private void send(Member member, CoordinatorMessage message, long nowMillis) {
        member.sentAtMillis = nowMillis;
        effects.accept(new CoordinationEffect.ToMember(member.entry, message));
    }

    /** Drops the asks and grants of a member whose link went down. */
    public void onMemberDown(String entry, long nowMillis) {
        Member member = members.remove(entry);
        if (member == null) {
            return;
        }
        member.open.values().forEach(this::withdraw);
        member.granted.values().forEach(ask -> end(ask, Outcome.NOT_SENT, nowMillis));
    }

    /** Returns the ask about the request, which is not open any more, or null if it was not. */
    private Ask removeOpen(ScheduledRequest request) {
        Ask ask = openAsks.remove(request);
        if (ask != null) {
            openCounts.merge(ask.service, -1, Integer::sum);
        }
        return ask;
    }

    /** Returns whether any member waits for a decision on a request for the service. */
    public boolean hasOpenAsks(String service) {
        return openCounts.getOrDefault(service, 0) > 0;
    }

    /** Returns the number of requests that members have been granted and have not ended. */
    public int grantedCount() {
        return members.values().stream()
                .mapToInt(member -> member.granted.size())
                .sum();
    }

    /** Sends the beats that are due and drops grants whose end was lost; called every 20 ms. */
    public void tick(long nowMillis) {
        for (Member member : members.values()) {
            if (!member.open.isEmpty() && nowMillis - member.sentAtMillis >= BEAT_AFTER_MILLIS) {
                send(member, new CoordinatorMessage.Beat(), nowMillis);
            }
        }
        if (nowMillis - expiryCheckedAtMillis >= EXPIRY_CHECK_MILLIS) {
            expiryCheckedAtMillis = nowMillis;
            members.values().forEach(member -> expire(member, nowMillis));
        }
    }

    private void expire(Member member, long nowMillis) {
        List<Ask> expired = new ArrayList<>();
        for (Iterator<Ask> each = member.granted.values().iterator(); each.hasNext(); ) {
            Ask ask = each.next();
            if (nowMillis > ask.request.deadlineAtMillis() + END_OVERDUE_MILLIS) {
                each.remove();
                expired.add(ask);
            }
        }
        expired.forEach(ask -> end(ask, Outcome.NOT_SENT, nowMillis));
    }

    /** Open and granted requests of one member, by its numbers. */
    private static final class Member {
        private final String entry;
        private final Map<Long, Ask> open = new LinkedHashMap<>();
        private final Map<Long, Ask> granted = new LinkedHashMap<>();
        private long sentAtMillis = Long.MIN_VALUE / 2;

        private Member(String entry) {
            this.entry = entry;
        }
    }

    private record Ask(Member member, long number, String service, ScheduledRequest request) {}
}

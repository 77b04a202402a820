package dev.wigeonward.core.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

/** One upstream that the entry links to, with its current incarnation. */
final class Member {
    /** Marks a time that never comes. */
    static final long NEVER_MILLIS = Long.MAX_VALUE;

    /** A late Hello of an incarnation replaced longer ago than this many restarts is not expected. */
    private static final int REPLACED_REMEMBERED = 8;

    /** A link that was up for this long has proved itself, and its next failure starts the backoff anew. */
    private static final long PROVED_MILLIS = ReconnectBackoff.LAST_LIMIT_MILLIS;

    private final String upstreamId;
    private final ReconnectBackoff backoff;
    private final Deque<Long> replaced = new ArrayDeque<>();
    private String address;
    private boolean listed = true;
    private boolean listedLeaving;
    private boolean everUp;
    private boolean linkUp;
    private boolean leaving;
    private long incarnation;
    private long upSinceMillis;
    private long lastFrameMillis;
    private long connectAtMillis;

    private Member(ListedVm vm, RandomGenerator random) {
        this.upstreamId = vm.id();
        this.address = vm.address();
        this.backoff = new ReconnectBackoff(random);
    }

    /** Returns a member whose first connection attempt is planned with jitter. */
    static Member joining(ListedVm vm, RandomGenerator random, long nowMillis) {
        Member member = new Member(vm, random);
        member.planConnection(nowMillis);
        return member;
    }

    String upstreamId() {
        return upstreamId;
    }

    String address() {
        return address;
    }

    long incarnation() {
        return incarnation;
    }

    MemberState state() {
        if (leaving) {
            return MemberState.LEAVING;
        }
        if (!everUp) {
            return MemberState.JOINING;
        }
        return linkUp ? MemberState.LIVE : MemberState.SUSPECT;
    }

    boolean isCurrent(long candidate) {
        return everUp && candidate == incarnation;
    }

    /** Returns whether a link of the candidate would end another incarnation. */
    boolean isReplacedBy(long candidate) {
        return everUp && candidate != incarnation;
    }

    boolean isReplaced(long candidate) {
        return replaced.contains(candidate);
    }

    boolean silentAt(long nowMillis) {
        return linkUp && nowMillis - lastFrameMillis >= MembershipCore.SILENCE_MILLIS;
    }

    /** Returns whether nothing speaks for the member any more: neither the VM list nor a link. */
    boolean gone() {
        return !listed && !linkUp;
    }

    boolean connectionDueAt(long nowMillis) {
        return connectAtMillis <= nowMillis;
    }

    long nextWakeMillis() {
        return linkUp ? lastFrameMillis + MembershipCore.SILENCE_MILLIS : connectAtMillis;
    }

    void onListed(ListedVm vm) {
        listed = true;
        listedLeaving = vm.leaving();
        leaving |= listedLeaving;
        address = vm.address();
    }

    /** A live link is better evidence than a lagging list, so that only a member without one is gone by this. */
    void onUnlisted() {
        listed = false;
    }

    void onLeaving() {
        leaving = true;
    }

    /** Takes over a new connection; a departure of the old incarnation does not bind a new one. */
    void onLinkUp(long newIncarnation, long nowMillis) {
        if (isReplacedBy(newIncarnation)) {
            if (replaced.size() == REPLACED_REMEMBERED) {
                replaced.removeFirst();
            }
            replaced.addLast(incarnation);
            leaving = listedLeaving;
        }
        incarnation = newIncarnation;
        everUp = true;
        linkUp = true;
        upSinceMillis = nowMillis;
        lastFrameMillis = nowMillis;
        connectAtMillis = NEVER_MILLIS;
    }

    void onFrame(long nowMillis) {
        if (linkUp) {
            lastFrameMillis = Math.max(lastFrameMillis, nowMillis);
        }
    }

    /** Plans a new connection after the link was lost, found silent or could not be opened. */
    void onLinkLost(long nowMillis) {
        if (linkUp && lastFrameMillis - upSinceMillis >= PROVED_MILLIS) {
            backoff.reset();
        }
        linkUp = false;
        planConnection(nowMillis);
    }

    /** Marks the attempt as started; another one follows if neither success nor failure is reported. */
    void onConnecting(long nowMillis) {
        connectAtMillis = nowMillis + MembershipCore.CONNECT_TIMEOUT_MILLIS;
    }

    private void planConnection(long nowMillis) {
        connectAtMillis = nowMillis + backoff.nextDelayMillis();
    }
}

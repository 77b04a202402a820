package dev.wigeonward.core.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

/** An upstream to which the entry keeps a link, with its current incarnation and the state of the link. */
final class Member {
    /** Stands for the time of an event that is not planned. */
    static final long NEVER_MILLIS = Long.MAX_VALUE;

    /** Number of replaced incarnations stored; a Hello that is late by more restarts than this is not expected. */
    private static final int MAX_REPLACED_INCARNATIONS = 8;

    /** Time after which a link counts as stable, so that the backoff starts anew when the link is lost. */
    private static final long STABLE_MILLIS = ReconnectBackoff.LAST_LIMIT_MILLIS;

    private final String upstreamId;
    private final ReconnectBackoff backoff;
    private final Deque<Long> replacedIncarnations = new ArrayDeque<>();
    private String address;
    private boolean listed = true;
    private boolean listedAsLeaving;
    private boolean wasLinked;
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

    /** Returns a member without a link, whose first connection attempt is scheduled with jitter. */
    static Member joining(ListedVm vm, RandomGenerator random, long nowMillis) {
        Member member = new Member(vm, random);
        member.scheduleConnection(nowMillis);
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
        if (!wasLinked) {
            return MemberState.JOINING;
        }
        return linkUp ? MemberState.LIVE : MemberState.SUSPECT;
    }

    boolean isCurrent(long candidate) {
        return wasLinked && candidate == incarnation;
    }

    /** Returns whether a link of the candidate would replace another incarnation. */
    boolean isReplacedBy(long candidate) {
        return wasLinked && candidate != incarnation;
    }

    boolean isReplaced(long candidate) {
        return replacedIncarnations.contains(candidate);
    }

    boolean linkTimedOutAt(long nowMillis) {
        return linkUp && nowMillis - lastFrameMillis >= UpstreamMembership.LINK_TIMEOUT_MILLIS;
    }

    /** Returns whether the member is neither in the VM list nor linked. */
    boolean isUnlistedAndUnlinked() {
        return !listed && !linkUp;
    }

    boolean connectionDueAt(long nowMillis) {
        return connectAtMillis <= nowMillis;
    }

    long nextTickMillis() {
        return linkUp ? lastFrameMillis + UpstreamMembership.LINK_TIMEOUT_MILLIS : connectAtMillis;
    }

    void onListed(ListedVm vm) {
        listed = true;
        listedAsLeaving = vm.leaving();
        leaving |= listedAsLeaving;
        address = vm.address();
    }

    /** Records that the VM list no longer contains the member. A linked member stays, since the list may lag. */
    void onUnlisted() {
        listed = false;
    }

    void onLeaving() {
        leaving = true;
    }

    /** Records a new link; the announced departure of a replaced incarnation does not apply to the new one. */
    void onLinkUp(long newIncarnation, long nowMillis) {
        if (isReplacedBy(newIncarnation)) {
            if (replacedIncarnations.size() == MAX_REPLACED_INCARNATIONS) {
                replacedIncarnations.removeFirst();
            }
            replacedIncarnations.addLast(incarnation);
            leaving = listedAsLeaving;
        }
        incarnation = newIncarnation;
        wasLinked = true;
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

    /** Schedules a new connection attempt after the link was lost, timed out or could not be opened. */
    void onLinkLost(long nowMillis) {
        if (linkUp && lastFrameMillis - upSinceMillis >= STABLE_MILLIS) {
            backoff.reset();
        }
        linkUp = false;
        scheduleConnection(nowMillis);
    }

    /** Records the start of a connection attempt; another one follows if neither success nor failure is reported. */
    void onConnecting(long nowMillis) {
        connectAtMillis = nowMillis + UpstreamMembership.CONNECT_TIMEOUT_MILLIS;
    }

    private void scheduleConnection(long nowMillis) {
        connectAtMillis = nowMillis + backoff.nextDelayMillis();
    }
}

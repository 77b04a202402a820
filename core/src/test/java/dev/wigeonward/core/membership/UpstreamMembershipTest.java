package dev.wigeonward.core.membership;

import java.util.List;
import java.util.Random;

import dev.wigeonward.core.membership.MembershipEffect.CloseLink;
import dev.wigeonward.core.membership.MembershipEffect.OpenLink;
import dev.wigeonward.core.membership.MembershipEffect.Replaced;
import dev.wigeonward.core.membership.MembershipEffect.StartDispatch;
import dev.wigeonward.core.membership.MembershipEffect.StopDispatch;
import dev.wigeonward.core.membership.MembershipEvent.FrameArrived;
import dev.wigeonward.core.membership.MembershipEvent.LeavingAnnounced;
import dev.wigeonward.core.membership.MembershipEvent.LinkDown;
import dev.wigeonward.core.membership.MembershipEvent.LinkUp;
import dev.wigeonward.core.membership.MembershipEvent.Tick;
import dev.wigeonward.core.membership.MembershipEvent.VmsListed;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamMembershipTest {
    private static final long LINK_TIMEOUT_MILLIS = UpstreamMembership.LINK_TIMEOUT_MILLIS;
    private static final long OLD = 11;
    private static final long NEW = 12;
    private static final StopDispatch STOP_LEAVING = new StopDispatch("a", OLD, MemberState.LEAVING);
    private static final StopDispatch STOP_SUSPECT = new StopDispatch("a", OLD, MemberState.SUSPECT);

    private final UpstreamMembership membership = UpstreamMembership.create("e", new Random(1));

    private static VmsListed list(long sequence, boolean agentListed, boolean leaving) {
        ListedVm entry = new ListedVm("e", ListedVm.Role.ENTRY, "", "10.0.0.1:80", false);
        ListedVm agent = new ListedVm("a", ListedVm.Role.AGENT, "model", "10.0.0.2:90", leaving);
        return new VmsListed(sequence, agentListed ? List.of(entry, agent) : List.of(entry));
    }

    @BeforeEach
    void linkOneAgent() {
        assertThat(membership.handle(list(1, true, false), 0)).isEmpty();
        assertThat(membership.state("a", OLD)).isEqualTo(MemberState.JOINING);
        assertThat(membership.handle(new Tick(), 100)).containsExactly(new OpenLink("a", "10.0.0.2:90"));
        assertThat(membership.handle(new LinkUp("a", OLD), 110)).containsExactly(new StartDispatch("a", OLD));
        assertThat(membership.state("a", OLD)).isEqualTo(MemberState.LIVE);
    }

    /** Guards against a departure that takes effect only when several of the three signals arrive. */
    @Test
    void eachSignalAloneStopsDispatch() {
        UpstreamMembership byList = UpstreamMembership.create("e", new Random(1));
        byList.handle(list(1, true, false), 0);
        byList.handle(new LinkUp("a", OLD), 110);
        assertThat(byList.handle(list(2, true, true), 200)).containsExactly(STOP_LEAVING);
        UpstreamMembership byLinkTimeout = UpstreamMembership.create("e", new Random(1));
        byLinkTimeout.handle(list(1, true, false), 0);
        byLinkTimeout.handle(new LinkUp("a", OLD), 110);
        assertThat(byLinkTimeout.acceptsRequests("a", OLD, 110 + LINK_TIMEOUT_MILLIS))
                .isFalse();
        assertThat(byLinkTimeout.handle(new Tick(), 110 + LINK_TIMEOUT_MILLIS)).contains(STOP_SUSPECT);
        assertThat(membership.handle(new LeavingAnnounced("a", OLD), 200)).containsExactly(STOP_LEAVING);
    }

    /** Guards against a lagging VM list or a reconnect that reverts the agent's announcement. */
    @Test
    void departureIsFinalForTheIncarnation() {
        membership.handle(new LeavingAnnounced("a", OLD), 200);
        assertThat(membership.handle(list(2, true, false), 300)).isEmpty();
        membership.handle(new LinkDown("a"), 400);
        assertThat(membership.handle(new LinkUp("a", OLD), 500)).containsExactly(STOP_LEAVING);
        assertThat(membership.state("a", OLD)).isEqualTo(MemberState.LEAVING);
        assertThat(membership.handle(new LinkUp("a", NEW), 600))
                .containsExactly(new Replaced("a", OLD, NEW), new StartDispatch("a", NEW));
    }

    /** Guards against events of an earlier incarnation that are applied to the restarted agent. */
    @Test
    void newIncarnationReplacesTheOldOneForGood() {
        assertThat(membership.handle(new LinkUp("a", NEW), 200))
                .containsExactly(
                        new StopDispatch("a", OLD, MemberState.REPLACED),
                        new Replaced("a", OLD, NEW),
                        new StartDispatch("a", NEW));
        assertThat(membership.state("a", OLD)).isEqualTo(MemberState.REPLACED);
        assertThat(membership.handle(new LeavingAnnounced("a", OLD), 300)).isEmpty();
        assertThat(membership.state("a", NEW)).isEqualTo(MemberState.LIVE);
        assertThat(membership.handle(new LinkUp("a", OLD), 400))
                .containsExactly(
                        new StopDispatch("a", OLD, MemberState.REPLACED),
                        new StopDispatch("a", NEW, MemberState.SUSPECT));
        assertThat(membership.acceptsRequests("a", OLD, 400)).isFalse();
    }

    /** Guards against closing the link to an agent that still answers, because the VM list lags or is incomplete. */
    @Test
    void unlistedAgentStaysUntilItsLinkEnds() {
        assertThat(membership.handle(list(2, false, false), 200)).isEmpty();
        membership.handle(new FrameArrived("a", OLD), 2_000);
        assertThat(membership.handle(new Tick(), 4_000)).isEmpty();
        assertThat(membership.handle(new Tick(), 2_000 + LINK_TIMEOUT_MILLIS))
                .containsExactly(STOP_SUSPECT, new CloseLink("a"));
        assertThat(membership.state("a", OLD)).isEqualTo(MemberState.DEAD);
        assertThat(membership.nextTickMillis()).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against an older read of the VM list that overrides a newer one. */
    @Test
    void olderReadOfTheListIsIgnored() {
        membership.handle(list(5, true, false), 200);
        assertThat(membership.handle(list(4, true, true), 300)).isEmpty();
        assertThat(membership.handle(list(6, true, true), 400)).containsExactly(STOP_LEAVING);
    }

    /** Guards against a connection attempt that is never repeated after its result was lost. */
    @Test
    void attemptWithoutAnswerIsRepeated() {
        membership.handle(new LinkDown("a"), 200);
        assertThat(membership.handle(new Tick(), 400)).containsExactly(new OpenLink("a", "10.0.0.2:90"));
        assertThat(membership.handle(new Tick(), 400 + UpstreamMembership.CONNECT_TIMEOUT_MILLIS - 1))
                .isEmpty();
        assertThat(membership.handle(new Tick(), 400 + UpstreamMembership.CONNECT_TIMEOUT_MILLIS))
                .hasSize(1);
    }

    /** Guards against reconnects that happen at the same moment from all entries, too often or too rarely. */
    @Test
    void backoffDoublesUpToItsLimitWithFullJitter() {
        ReconnectBackoff backoff = new ReconnectBackoff(new Random(3));
        long[] limitsMillis = {100, 200, 400, 800, 1_600, 3_200, 5_000, 5_000};
        for (long limitMillis : limitsMillis) {
            assertThat(backoff.limitMillis()).isEqualTo(limitMillis);
            assertThat(backoff.nextDelayMillis()).isBetween(0L, limitMillis);
        }
        long early = 0;
        for (int draw = 0; draw < 1_000; draw++) {
            early += backoff.nextDelayMillis() < 2_500 ? 1 : 0;
        }
        assertThat(early).isBetween(400L, 600L);
        backoff.reset();
        assertThat(backoff.limitMillis()).isEqualTo(100);
    }
}

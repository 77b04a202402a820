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

class MembershipCoreTest {
    private static final long SILENCE = UpstreamMembership.LINK_TIMEOUT_MILLIS;
    private static final long OLD = 11;
    private static final long NEW = 12;
    private static final StopDispatch STOP_LEAVING = new StopDispatch("a", OLD, MemberState.LEAVING);
    private static final StopDispatch STOP_SUSPECT = new StopDispatch("a", OLD, MemberState.SUSPECT);

    private final UpstreamMembership core = UpstreamMembership.create("e", new Random(1));

    private static VmsListed list(long sequence, boolean agentListed, boolean leaving) {
        ListedVm entry = new ListedVm("e", ListedVm.Role.ENTRY, "", "10.0.0.1:80", false);
        ListedVm agent = new ListedVm("a", ListedVm.Role.AGENT, "model", "10.0.0.2:90", leaving);
        return new VmsListed(sequence, agentListed ? List.of(entry, agent) : List.of(entry));
    }

    @BeforeEach
    void linkOneAgent() {
        assertThat(core.handle(list(1, true, false), 0)).isEmpty();
        assertThat(core.state("a", OLD)).isEqualTo(MemberState.JOINING);
        assertThat(core.handle(new Tick(), 100)).containsExactly(new OpenLink("a", "10.0.0.2:90"));
        assertThat(core.handle(new LinkUp("a", OLD), 110)).containsExactly(new StartDispatch("a", OLD));
        assertThat(core.state("a", OLD)).isEqualTo(MemberState.LIVE);
    }

    /** Guards against a departure that takes effect only when several of the three signals arrive. */
    @Test
    void eachSignalAloneStopsNewWork() {
        UpstreamMembership byList = UpstreamMembership.create("e", new Random(1));
        byList.handle(list(1, true, false), 0);
        byList.handle(new LinkUp("a", OLD), 110);
        assertThat(byList.handle(list(2, true, true), 200)).containsExactly(STOP_LEAVING);
        UpstreamMembership bySilence = UpstreamMembership.create("e", new Random(1));
        bySilence.handle(list(1, true, false), 0);
        bySilence.handle(new LinkUp("a", OLD), 110);
        assertThat(bySilence.acceptsRequests("a", OLD, 110 + SILENCE)).isFalse();
        assertThat(bySilence.handle(new Tick(), 110 + SILENCE)).contains(STOP_SUSPECT);
        assertThat(core.handle(new LeavingAnnounced("a", OLD), 200)).containsExactly(STOP_LEAVING);
    }

    /** Guards against a lagging VM list or a reconnect that reverts the agent's announcement. */
    @Test
    void departureIsFinalForTheIncarnation() {
        core.handle(new LeavingAnnounced("a", OLD), 200);
        assertThat(core.handle(list(2, true, false), 300)).isEmpty();
        core.handle(new LinkDown("a"), 400);
        assertThat(core.handle(new LinkUp("a", OLD), 500)).containsExactly(STOP_LEAVING);
        assertThat(core.state("a", OLD)).isEqualTo(MemberState.LEAVING);
        assertThat(core.handle(new LinkUp("a", NEW), 600))
                .containsExactly(new Replaced("a", OLD, NEW), new StartDispatch("a", NEW));
    }

    /** Guards against events of an earlier incarnation that are applied to the restarted agent. */
    @Test
    void newIncarnationReplacesTheOldOneForGood() {
        assertThat(core.handle(new LinkUp("a", NEW), 200))
                .containsExactly(
                        new StopDispatch("a", OLD, MemberState.REPLACED),
                        new Replaced("a", OLD, NEW),
                        new StartDispatch("a", NEW));
        assertThat(core.state("a", OLD)).isEqualTo(MemberState.REPLACED);
        assertThat(core.handle(new LeavingAnnounced("a", OLD), 300)).isEmpty();
        assertThat(core.state("a", NEW)).isEqualTo(MemberState.LIVE);
        assertThat(core.handle(new LinkUp("a", OLD), 400))
                .containsExactly(
                        new StopDispatch("a", OLD, MemberState.REPLACED),
                        new StopDispatch("a", NEW, MemberState.SUSPECT));
        assertThat(core.acceptsRequests("a", OLD, 400)).isFalse();
    }

    /** Guards against closing the link to an agent that still answers, because the VM list lags or is incomplete. */
    @Test
    void unlistedAgentStaysUntilItsLinkEnds() {
        assertThat(core.handle(list(2, false, false), 200)).isEmpty();
        core.handle(new FrameArrived("a", OLD), 2_000);
        assertThat(core.handle(new Tick(), 4_000)).isEmpty();
        assertThat(core.handle(new Tick(), 2_000 + SILENCE)).containsExactly(STOP_SUSPECT, new CloseLink("a"));
        assertThat(core.state("a", OLD)).isEqualTo(MemberState.DEAD);
        assertThat(core.nextTickMillis()).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against an older read of the VM list that overrides a newer one. */
    @Test
    void olderReadOfTheListIsIgnored() {
        core.handle(list(5, true, false), 200);
        assertThat(core.handle(list(4, true, true), 300)).isEmpty();
        assertThat(core.handle(list(6, true, true), 400)).containsExactly(STOP_LEAVING);
    }

    /** Guards against a connection attempt that is never repeated after its result was lost. */
    @Test
    void attemptWithoutAnswerIsRepeated() {
        core.handle(new LinkDown("a"), 200);
        assertThat(core.handle(new Tick(), 400)).containsExactly(new OpenLink("a", "10.0.0.2:90"));
        assertThat(core.handle(new Tick(), 400 + UpstreamMembership.CONNECT_TIMEOUT_MILLIS - 1))
                .isEmpty();
        assertThat(core.handle(new Tick(), 400 + UpstreamMembership.CONNECT_TIMEOUT_MILLIS))
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

package dev.wigeonward.core.dispatch;

import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.admission.WorkspaceWeights;
import dev.wigeonward.core.engine.EngineLimits;
import dev.wigeonward.core.engine.PriorityEngineQueue;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AgentDispatcherFaultTest {
    private static final long INCARNATION = 7;
    private static final RequestSpec PLAIN = request("r1", true);
    private static final RequestSpec CLAIMED = request("r1", false);

    private final AgentDispatcher agent = AgentDispatcher.create(
            INCARNATION,
            PriorityEngineQueue.create(
                    new EngineLimits(2, 100_000, 0, 8), new EngineSpeed(1_000, 100), WorkspaceWeights.equal()),
            AgentLimits.defaults());

    /**
     * Guards against a second run at another agent: a run that was cancelled after its link was lost must not be
     * reported as never received.
     */
    @Test
    void cancelledRunIsNotReportedAsNeverReceived() {
        agent.handle(dispatch(1, PLAIN, 1), 0);
        agent.handle(new AgentEvent.LinkLost(1), 0);
        agent.handle(new AgentEvent.Tick(), 5_000);
        assertThat(failureOf(agent.handle(reattach(2, PLAIN, 1), 5_500))).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    }

    /**
     * Guards against a second run at another agent: a claimed request still runs after its reader was removed, and a
     * reattach must find that run.
     */
    @Test
    void reattachFindsClaimedRunAfterItsReaderWasRemoved() {
        agent.handle(dispatch(1, CLAIMED, 1), 0);
        agent.handle(new AgentEvent.LinkLost(1), 0);
        agent.handle(new AgentEvent.Tick(), 5_000);
        assertThat(agent.handle(reattach(2, CLAIMED, 1), 5_500))
                .containsExactly(new AgentEffect.SendAccepted(2, CLAIMED.id(), id(CLAIMED, 1)));
    }

    /**
     * Guards against replacing a claim whose request ran: its outcome is removed after 10 minutes, and a later
     * attach must not be answered as never received.
     */
    @Test
    void removedOutcomeIsNotReportedAsNeverReceived() {
        agent.handle(dispatch(1, CLAIMED, 1), 0);
        agent.handle(new AgentEvent.UpstreamFinished(CLAIMED.id()), 10);
        agent.handle(new AgentEvent.LinkLost(1), 10);
        agent.handle(new AgentEvent.Tick(), 6_000);
        agent.handle(new AgentEvent.Tick(), 700_000);
        RequestSpec resend = request("r2", false);
        List<AgentEffect> effects = agent.handle(
                new AgentEvent.DispatchArrived(2, resend, id(resend, 1), INCARNATION, Optional.of(CLAIMED.id())),
                700_000);
        assertThat(failureOf(effects)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    }

    private static AgentEvent.DispatchArrived attach(RequestSpec request) {
        return new AgentEvent.DispatchArrived(2, request, id(request, 1), INCARNATION, Optional.of(CLAIMED.id()));
    }

    /** Guards against replacing a claim because an attach to it overtook the dispatch of the claiming request. */
    @Test
    void attachThatOvertakesTheDispatchJoinsItsRun() {
        RequestSpec resend = request("r2", false);
        assertThat(agent.handle(attach(resend), 0)).isEmpty();
        assertThat(agent.handle(dispatch(1, CLAIMED, 1), 20))
                .contains(
                        new AgentEffect.SubmitToUpstream(CLAIMED.id()),
                        new AgentEffect.SendAccepted(2, resend.id(), id(resend, 1)));
    }

    /** Guards against an attach that is never answered because the entry died between its claim and its dispatch. */
    @Test
    void attachIsAnsweredWhenTheDispatchDoesNotCome() {
        RequestSpec resend = request("r2", false);
        agent.handle(attach(resend), 0);
        assertThat(agent.handle(new AgentEvent.Tick(), EarlyAttaches.MAX_WAIT_MILLIS - 1))
                .isEmpty();
        assertThat(agent.handle(new AgentEvent.Tick(), EarlyAttaches.MAX_WAIT_MILLIS))
                .containsExactly(new AgentEffect.SendNeverReceived(2, resend.id(), id(resend, 1)));
        assertThat(agent.handle(dispatch(1, CLAIMED, 1), 400))
                .singleElement()
                .isInstanceOf(AgentEffect.SendNotRun.class);
    }

    /** Guards against a run started by a late copy of a dispatch that was already answered as not run. */
    @Test
    void copyOfRefusedDispatchStartsNothing() {
        agent.handle(new AgentEvent.UpstreamDied(), 0);
        agent.handle(dispatch(1, PLAIN, 1), 0);
        agent.handle(new AgentEvent.UpstreamAlive(), 0);
        assertThat(agent.handle(dispatch(1, PLAIN, 1), 10)).singleElement().isInstanceOf(AgentEffect.SendNotRun.class);
        assertThat(agent.handle(dispatch(1, PLAIN, 2), 10)).contains(new AgentEffect.SubmitToUpstream(PLAIN.id()));
    }

    /** Guards against a second run started by a late copy of a dispatch whose run has finished and been removed. */
    @Test
    void copyOfFinishedDispatchStartsNothing() {
        agent.handle(dispatch(1, PLAIN, 1), 0);
        agent.handle(new AgentEvent.UpstreamFinished(PLAIN.id()), 10);
        agent.handle(new AgentEvent.AcknowledgeArrived(PLAIN.id(), 0), 20);
        assertThat(failureOf(agent.handle(dispatch(1, PLAIN, 1), 30))).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    }

    /** Guards against a "not run" answer from an agent that has no record of what an earlier incarnation ran. */
    @Test
    void dispatchToEarlierIncarnationHasUnknownOutcome() {
        List<AgentEffect> effects = agent.handle(
                new AgentEvent.DispatchArrived(1, PLAIN, id(PLAIN, 1), INCARNATION - 1, Optional.empty()), 0);
        assertThat(failureOf(effects)).isEqualTo(ErrorKind.UPSTREAM_LOST);
    }

    /** Guards against a caller that waits forever for output that was lost with the old link. */
    @Test
    void repeatedDispatchReceivesUnacknowledgedOutputAgain() {
        agent.handle(dispatch(1, PLAIN, 1), 0);
        agent.handle(new AgentEvent.UpstreamOutput(PLAIN.id(), 10), 10);
        agent.handle(new AgentEvent.UpstreamFinished(PLAIN.id()), 20);
        assertThat(agent.handle(dispatch(2, PLAIN, 1), 30))
                .hasSize(3)
                .contains(new AgentEffect.SendOutput(2, PLAIN.id(), id(PLAIN, 1), PLAIN.id(), 0, 10));
    }

    /** Guards against a shutdown that loses an answer whose link was lost before the answer was acknowledged. */
    @Test
    void drainWaitsForReaderThatHasNotAcknowledgedItsAnswer() {
        agent.handle(dispatch(1, PLAIN, 1), 0);
        agent.handle(new AgentEvent.DrainStarted(), 0);
        agent.handle(new AgentEvent.UpstreamFinished(PLAIN.id()), 10);
        agent.handle(new AgentEvent.LinkLost(1), 20);
        assertThat(agent.isIdle()).isFalse();
        agent.handle(reattach(2, PLAIN, 1), 100);
        assertThat(agent.isIdle()).isFalse();
        agent.handle(new AgentEvent.AcknowledgeArrived(PLAIN.id(), 0), 200);
        assertThat(agent.isIdle()).isTrue();
    }

    private static ErrorKind failureOf(List<AgentEffect> effects) {
        assertThat(effects).singleElement().isInstanceOf(AgentEffect.SendFailed.class);
        Failure failure = ((AgentEffect.SendFailed) effects.get(0)).failure();
        return failure.kind();
    }

    private static AgentEvent dispatch(long link, RequestSpec request, int attempt) {
        return new AgentEvent.DispatchArrived(link, request, id(request, attempt), INCARNATION, Optional.empty());
    }

    private static AgentEvent reattach(long link, RequestSpec request, int attempt) {
        return new AgentEvent.ReattachArrived(link, request.id(), id(request, attempt), INCARNATION, 0);
    }

    private static DispatchId id(RequestSpec request, int attempt) {
        return DispatchId.of(request.id(), attempt);
    }

    private static RequestSpec request(String id, boolean idempotent) {
        return new RequestSpec(
                new RequestId(id),
                idempotent ? Optional.empty() : Optional.of("key"),
                Tier.STANDARD,
                "w",
                "model",
                "route",
                new WorkEstimate(10, 10, 0),
                60_000,
                idempotent,
                1);
    }
}

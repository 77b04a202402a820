package dev.wigeonward.core.dispatch;

import java.util.List;
import java.util.Optional;

import dev.wigeonward.core.admission.FairShareAdmissionQueue;
import dev.wigeonward.core.admission.WorkspaceWeights;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.RunState;
import dev.wigeonward.core.placement.LeastOutstanding;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.EngineSpeed;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;
import dev.wigeonward.core.request.Tier;
import dev.wigeonward.core.request.WorkEstimate;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryDispatcherFaultTest {
    private static final long DEADLINE_MILLIS = 10_000;
    private static final RequestSpec CLAIMED = new RequestSpec(
            new RequestId("r2"),
            Optional.of("key"),
            Tier.STANDARD,
            "w",
            "model",
            "route",
            new WorkEstimate(10, 10, 0),
            DEADLINE_MILLIS,
            false,
            1);
    private static final UpstreamDescription UPSTREAM =
            new UpstreamDescription("a1", 7, "model", "v1", "d1", 4, new EngineSpeed(1_000, 100));
    private static final RequestId HOLDER = new RequestId("r1");

    private final EntryDispatcher entry = EntryDispatcher.create(
            new DispatchPolicies(
                    () -> FairShareAdmissionQueue.create(8, WorkspaceWeights.equal()),
                    LeastOutstanding.create(),
                    LeastOutstanding.create(),
                    VersionRouter.first(),
                    RetryLimiter.unlimited(),
                    SuspectPolicy.allowAll()),
            DispatchLimits.defaults());

    /**
     * Guards against an error kind meant for claimed requests in the refusal of a request without a key, whose resends
     * no claim protects.
     */
    @Test
    void refusalOfRequestWithoutClaimStaysNotRun() {
        RequestSpec idempotent = new RequestSpec(
                new RequestId("r3"),
                Optional.empty(),
                Tier.STANDARD,
                "w",
                "model",
                "route",
                new WorkEstimate(10, 10, 0),
                DEADLINE_MILLIS,
                true,
                1);
        assertThat(entry.handle(new EntryEvent.RequestArrived(idempotent), 0))
                .filteredOn(EntryEffect.DeliverFailure.class::isInstance)
                .singleElement()
                .isInstanceOfSatisfying(
                        EntryEffect.DeliverFailure.class,
                        delivered -> assertThat(delivered.failure().kind()).isEqualTo(ErrorKind.NO_UPSTREAM));
    }

    /** Guards against a false "not run" for a resend: no upstream is available, but the first copy may have run. */
    @Test
    void refusalBeforeTheClaimWasReadDoesNotSayNotRun() {
        assertThat(entry.handle(new EntryEvent.RequestArrived(CLAIMED), 0))
                .filteredOn(EntryEffect.DeliverFailure.class::isInstance)
                .singleElement()
                .isInstanceOfSatisfying(EntryEffect.DeliverFailure.class, delivered -> {
                    assertThat(delivered.failure().kind()).isEqualTo(ErrorKind.CLAIM_UNREAD);
                    assertThat(delivered.failure().kind().runState()).isEqualTo(RunState.UNKNOWN);
                });
    }

    /**
     * Guards against replacing a claim in use: after a reconnect, the agent would answer a reattach for the
     * attaching request, which it never received, instead of for the claiming one.
     */
    @Test
    void attachIsRepeatedOnNewLink() {
        attach();
        entry.handle(new EntryEvent.LinkDown("a1"), 100);
        assertThat(entry.handle(new EntryEvent.LinkUp(UPSTREAM), 200))
                .containsExactly(
                        new EntryEffect.SendAttach(CLAIMED.id(), DispatchId.of(CLAIMED.id(), 1), "a1", HOLDER));
    }

    /**
     * Guards against replacing a claim because of a late answer: agents may remove the record of a run after its
     * deadline.
     */
    @Test
    void neverReceivedAfterTheDeadlineIsNoProof() {
        attach();
        List<EntryEffect> effects = entry.handle(
                new EntryEvent.NeverReceived(CLAIMED.id(), DispatchId.of(CLAIMED.id(), 1)), DEADLINE_MILLIS);
        assertThat(effects)
                .filteredOn(EntryEffect.DeliverFailure.class::isInstance)
                .singleElement()
                .satisfies(effect -> assertThat(
                                ((EntryEffect.DeliverFailure) effect).failure().kind())
                        .isEqualTo(ErrorKind.DEADLINE_EXCEEDED_RUNNING));
        assertThat(effects).noneMatch(EntryEffect.ReplaceClaim.class::isInstance);
    }

    /** Guards against a request that is never removed, and a drain that never ends, when the store does not answer. */
    @Test
    void claimWithoutCallerEndsAtTheDeadline() {
        entry.handle(new EntryEvent.LinkUp(UPSTREAM), 0);
        entry.handle(new EntryEvent.RequestArrived(CLAIMED), 0);
        entry.handle(new EntryEvent.CallerDisconnected(CLAIMED.id()), 10);
        assertThat(entry.handle(new EntryEvent.Tick(), DEADLINE_MILLIS))
                .contains(new EntryEffect.ReleaseClaim(CLAIMED.id()));
        assertThat(entry.isIdle()).isTrue();
    }

    private void attach() {
        entry.handle(new EntryEvent.LinkUp(UPSTREAM), 0);
        entry.handle(new EntryEvent.RequestArrived(CLAIMED), 0);
        assertThat(entry.handle(
                        new EntryEvent.ClaimAnswered(
                                CLAIMED.id(), new ClaimResult.HeldByOther("c1", HOLDER, "a1", UPSTREAM.incarnation())),
                        0))
                .hasSize(1);
    }
}

package dev.wigeonward.gateway.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

import com.google.common.base.Preconditions;
import dev.wigeonward.core.coordination.CoordinatorMessage;
import dev.wigeonward.core.coordination.MemberMessage;
import dev.wigeonward.core.rollout.VersionConstraint;
import dev.wigeonward.core.schedule.PromptPrefix;
import dev.wigeonward.core.schedule.RefusalReason;
import dev.wigeonward.core.schedule.RequestDescription;
import dev.wigeonward.core.schedule.ServiceScheduler;
import dev.wigeonward.wire.generated.PlacementAsk;
import dev.wigeonward.wire.generated.PlacementBatch;
import dev.wigeonward.wire.generated.PlacementEnd;
import dev.wigeonward.wire.generated.PlacementGrant;
import dev.wigeonward.wire.generated.PlacementProgress;
import dev.wigeonward.wire.generated.PlacementRefusal;
import dev.wigeonward.wire.generated.PlacementWithdrawal;

/** Encoding of the messages of coordination in batches. */
final class PlacementCodec {
    private PlacementCodec() {}

    static void add(PlacementBatch.Builder batch, MemberMessage message) {
        if (message instanceof MemberMessage.Ask ask) {
            batch.addAsks(toMessage(ask));
        } else if (message instanceof MemberMessage.Withdrawal withdrawal) {
            batch.addWithdrawals(PlacementWithdrawal.newBuilder().setNumber(withdrawal.number()));
        } else if (message instanceof MemberMessage.Progress progress) {
            batch.addProgress(PlacementProgress.newBuilder().setNumber(progress.number()));
        } else if (message instanceof MemberMessage.End end) {
            batch.addEnds(PlacementEnd.newBuilder()
                    .setNumber(end.number())
                    .setOutcome(PlacementEnd.Outcome.valueOf(end.outcome().name())));
        }
    }

    static void add(PlacementBatch.Builder batch, CoordinatorMessage message) {
        if (message instanceof CoordinatorMessage.Grant grant) {
            batch.addGrants(PlacementGrant.newBuilder()
                    .setNumber(grant.number())
                    .setLifetime(grant.lifetimeId())
                    .setKeptTokens(grant.keptTokens()));
        } else if (message instanceof CoordinatorMessage.Refusal refusal) {
            batch.addRefusals(PlacementRefusal.newBuilder()
                    .setNumber(refusal.number())
                    .setReason(PlacementRefusal.Reason.valueOf(refusal.reason().name()))
                    .setReturnAfterMillis(toInt(refusal.returnAfterMillis())));
        } else {
            batch.setBeat(true);
        }
    }

    private static int toInt(long millis) {
        return (int) Math.min(Integer.MAX_VALUE, millis);
    }

    private static PlacementAsk toMessage(MemberMessage.Ask ask) {
        RequestDescription request = ask.request();
        PlacementAsk.Builder message = PlacementAsk.newBuilder()
                .setNumber(ask.number())
                .setService(ask.service())
                .setKind(request.kind())
                .setRank(request.rank())
                .setWorkspace(request.workspace())
                .setWeight(request.weight())
                .setObjectiveMillis(toInt(request.objectiveMillis()))
                .setAgeMillis(toInt(request.ageMillis()))
                .setEarlierAttemptsMillis(toInt(request.earlierAttemptsMillis()))
                .setDeadlineLeftMillis(toInt(request.deadlineLeftMillis()))
                .setMaxPauseMillis(toInt(request.maxPauseMillis()))
                .setStreaming(request.streaming())
                .setPromptTokens(request.promptTokens())
                .setExpectedOutputTokens((float) request.expectedOutputTokens())
                .addAllSharedParts(request.sharedParts())
                .setSpreadKey(request.spreadKey())
                .addAllExcludedUpstreams(request.excludedUpstreamIds())
                .setOnlyUpstream(request.onlyUpstreamId().orElse(""))
                .setConstrainedVersion(request.versions().version())
                .setVersionRule(PlacementAsk.VersionRule.valueOf(
                        request.versions().kind().name()))
                .setZone(request.zone());
        for (PromptPrefix prefix : request.prefixes()) {
            message.addPrefixes(prefix.hash()).addPrefixTokens(prefix.tokens());
        }
        return message.build();
    }

    /**
     * Returns the valid messages of a member in a batch.
     *
     * @param onInvalid receives the number of each invalid ask and the reason
     */
    static List<MemberMessage> memberMessages(PlacementBatch batch, BiConsumer<Long, String> onInvalid) {
        List<MemberMessage> messages = new ArrayList<>();
        // Ends come first, so that the slots that they free are free for the asks.
        batch.getEndsList()
                .forEach(end -> messages.add(new MemberMessage.End(end.getNumber(), outcome(end.getOutcome()))));
        batch.getProgressList().forEach(progress -> messages.add(new MemberMessage.Progress(progress.getNumber())));
        for (PlacementAsk ask : batch.getAsksList()) {
            try {
                messages.add(new MemberMessage.Ask(ask.getNumber(), ask.getService(), toDescription(ask)));
            } catch (IllegalArgumentException e) {
                onInvalid.accept(ask.getNumber(), e.getMessage());
            }
        }
        batch.getWithdrawalsList()
                .forEach(withdrawal -> messages.add(new MemberMessage.Withdrawal(withdrawal.getNumber())));
        return messages;
    }

    /** An outcome of a later release counts as one that says nothing about the upstream. */
    private static ServiceScheduler.Outcome outcome(PlacementEnd.Outcome outcome) {
        return outcome == PlacementEnd.Outcome.UNRECOGNIZED
                ? ServiceScheduler.Outcome.NOT_SENT
                : ServiceScheduler.Outcome.valueOf(outcome.name());
    }

    private static RequestDescription toDescription(PlacementAsk ask) {
        Preconditions.checkArgument(
                ask.getPrefixesCount() == ask.getPrefixTokensCount(),
                "ask %s has %s prefixes and %s numbers of tokens, expected as many",
                ask.getNumber(),
                ask.getPrefixesCount(),
                ask.getPrefixTokensCount());
        List<PromptPrefix> prefixes = new ArrayList<>();
        for (int index = 0; index < ask.getPrefixesCount(); index++) {
            prefixes.add(new PromptPrefix(ask.getPrefixes(index), ask.getPrefixTokens(index)));
        }
        boolean free = ask.getVersionRule() == PlacementAsk.VersionRule.FREE
                || ask.getVersionRule() == PlacementAsk.VersionRule.UNRECOGNIZED;
        return new RequestDescription(
                ask.getKind(),
                ask.getRank(),
                ask.getWorkspace(),
                // An entry of an earlier release states no weight.
                ask.getWeight() > 0 ? ask.getWeight() : 1,
                ask.getObjectiveMillis(),
                ask.getAgeMillis(),
                ask.getEarlierAttemptsMillis(),
                ask.getDeadlineLeftMillis(),
                ask.getMaxPauseMillis(),
                ask.getStreaming(),
                ask.getPromptTokens(),
                ask.getExpectedOutputTokens(),
                prefixes,
                ask.getSharedPartsList(),
                ask.getSpreadKey(),
                Set.copyOf(ask.getExcludedUpstreamsList()),
                Optional.of(ask.getOnlyUpstream()).filter(id -> !id.isEmpty()),
                free
                        ? VersionConstraint.NONE
                        : new VersionConstraint(
                                ask.getConstrainedVersion(),
                                VersionConstraint.Kind.valueOf(
                                        ask.getVersionRule().name())),
                ask.getZone());
    }

    /** Returns the messages of a coordinator in a batch. */
    static List<CoordinatorMessage> coordinatorMessages(PlacementBatch batch) {
        List<CoordinatorMessage> messages = new ArrayList<>();
        batch.getGrantsList()
                .forEach(grant -> messages.add(
                        new CoordinatorMessage.Grant(grant.getNumber(), grant.getLifetime(), grant.getKeptTokens())));
        batch.getRefusalsList()
                .forEach(refusal -> messages.add(new CoordinatorMessage.Refusal(
                        refusal.getNumber(), reason(refusal.getReason()), refusal.getReturnAfterMillis())));
        if (batch.getBeat()) {
            messages.add(new CoordinatorMessage.Beat());
        }
        return messages;
    }

    /** A reason of a later release is answered to the caller as an overload. */
    private static RefusalReason reason(PlacementRefusal.Reason reason) {
        return reason == PlacementRefusal.Reason.UNRECOGNIZED
                ? RefusalReason.WAITED_TOO_LONG
                : RefusalReason.valueOf(reason.name());
    }
}

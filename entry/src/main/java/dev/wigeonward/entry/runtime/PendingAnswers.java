package dev.wigeonward.entry.runtime;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import dev.wigeonward.core.dispatch.EntryEffect;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.entry.caller.CallerResponse;
import dev.wigeonward.entry.control.UsageRecorder;
import dev.wigeonward.wire.generated.Finished;
import dev.wigeonward.wire.generated.Output;

/** The answers that callers wait for, by request id. Not thread-safe; confined to the decision thread. */
final class PendingAnswers {
    private final EntryMetrics metrics;
    private final UsageRecorder usage;
    private final Map<RequestId, PendingAnswer> answers = new HashMap<>();

    PendingAnswers(EntryMetrics metrics, UsageRecorder usage) {
        this.metrics = metrics;
        this.usage = usage;
    }

    void add(CallerResponse response) {
        answers.put(response.request().id(), new PendingAnswer(response));
        metrics.arrived(response.request().tier());
    }

    PendingAnswer get(RequestId id) {
        return answers.get(id);
    }

    Optional<PendingAnswer> find(RequestId id) {
        return Optional.ofNullable(answers.get(id));
    }

    void remove(RequestId id) {
        answers.remove(id);
    }

    /**
     * Writes a part of an answer. Returns false if the caller reads too slowly; the answer has then been ended with an
     * error.
     */
    boolean deliverOutput(EntryEffect.DeliverOutput effect, Output output) {
        PendingAnswer answer = answers.get(effect.request());
        if (answer.output(output, effect.skipBytes())) {
            return true;
        }
        answer.response().fail(Failure.of(ErrorKind.SLOW_READER, "the caller does not read the answer fast enough"));
        metrics.failed(ErrorKind.SLOW_READER);
        return false;
    }

    void complete(RequestId id, Finished finished) {
        PendingAnswer answer = answers.get(id);
        answer.finish(finished);
        metrics.completed(answer.response().request().tier());
        usage.record(
                answer.response().request(),
                finished.getUsage().getPromptTokens(),
                finished.getUsage().getOutputTokens());
    }

    void deliverStored(RequestId id) {
        PendingAnswer answer = answers.get(id);
        answer.deliverStored();
        metrics.completed(answer.response().request().tier());
    }

    void fail(RequestId id, Failure failure) {
        metrics.failed(failure.kind());
        answers.get(id).response().fail(failure);
    }
}

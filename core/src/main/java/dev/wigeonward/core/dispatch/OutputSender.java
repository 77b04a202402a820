package dev.wigeonward.core.dispatch;

import java.util.function.Consumer;

/** Sends the output of runs to their readers within the flow-control window. */
final class OutputSender {
    private final int windowBytes;
    private final Consumer<AgentEffect> effectConsumer;

    OutputSender(int windowBytes, Consumer<AgentEffect> effectConsumer) {
        this.windowBytes = windowBytes;
        this.effectConsumer = effectConsumer;
    }

    /** Sends output that is not yet sent to each attached reader, and the end of the run once all output is sent. */
    void send(Run run) {
        for (Run.Reader reader : run.readers.values()) {
            if (reader.attached()) {
                send(run, reader);
            }
        }
    }

    private void send(Run run, Run.Reader reader) {
        long untilBytes = Math.min(run.producedBytes, reader.acknowledgedBytes + windowBytes);
        if (untilBytes > reader.sentBytes) {
            effectConsumer.accept(new AgentEffect.SendOutput(
                    reader.link, reader.request, reader.dispatch, run.id(), reader.sentBytes, untilBytes));
            reader.sentBytes = untilBytes;
        }
        if (run.phase != Run.Phase.ENDED || reader.endSent || reader.sentBytes < run.producedBytes) {
            return;
        }
        reader.endSent = true;
        if (run.failure().isPresent()) {
            effectConsumer.accept(new AgentEffect.SendFailed(
                    reader.link, reader.request, reader.dispatch, run.failure().get()));
            return;
        }
        effectConsumer.accept(new AgentEffect.SendFinished(
                reader.link, reader.request, reader.dispatch, run.id(), run.producedBytes));
    }

    /** Discards output that every reader has acknowledged, unless later readers may need it. */
    void trim(Run run) {
        if (run.keepsAllOutput()) {
            return;
        }
        long uptoBytes = run.readers.values().stream()
                .mapToLong(reader -> reader.acknowledgedBytes)
                .min()
                .orElse(run.trimmedBytes);
        if (uptoBytes > run.trimmedBytes) {
            run.trimmedBytes = uptoBytes;
            effectConsumer.accept(new AgentEffect.TrimOutput(run.id(), uptoBytes));
        }
    }
}

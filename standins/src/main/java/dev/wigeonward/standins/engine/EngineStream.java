package dev.wigeonward.standins.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import dev.wigeonward.common.http.Json;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.SourceAdapters;

/** Answer that is being generated; its output is retained so that readers can resume at an offset. */
final class EngineStream {
    private static final int MAX_BUFFERED_PARTS = 100_000;

    private final String id;
    private final String model;
    private final String version;
    private final boolean eventStream;
    private final int promptTokens;
    private final int outputTokens;
    private final BufferAllocator allocator;
    private final StringBuilder text = new StringBuilder();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final List<PublisherSource.Processor<Buffer, Buffer>> readers = new ArrayList<>();
    private double prefillLeftTokens;
    private double decodedTokens;
    private int emittedTokens;
    private int cachedTokens;
    private boolean ended;
    private long endedAtMillis;

    EngineStream(
            String id,
            String model,
            String version,
            boolean eventStream,
            int promptTokens,
            int outputTokens,
            BufferAllocator allocator) {
        this.id = id;
        this.model = model;
        this.version = version;
        this.eventStream = eventStream;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.allocator = allocator;
        this.prefillLeftTokens = promptTokens;
    }

    String id() {
        return id;
    }

    String version() {
        return version;
    }

    boolean eventStream() {
        return eventStream;
    }

    int promptTokens() {
        return promptTokens;
    }

    synchronized void useCache(int tokens) {
        cachedTokens = tokens;
        prefillLeftTokens = promptTokens - tokens;
    }

    /** Advances prefill and then decoding by a duration; returns whether the stream is complete. */
    synchronized boolean advance(double seconds, int prefillTokensPerSecond, int decodeTokensPerSecond) {
        double prefillSeconds = Math.min(seconds, prefillLeftTokens / prefillTokensPerSecond);
        prefillLeftTokens -= prefillSeconds * prefillTokensPerSecond;
        decodedTokens += (seconds - prefillSeconds) * decodeTokensPerSecond;
        int endToken = (int) Math.min(outputTokens, decodedTokens);
        if (endToken > emittedTokens) {
            emit(endToken);
        }
        return emittedTokens >= outputTokens;
    }

    private void emit(int endToken) {
        StringBuilder part = new StringBuilder();
        for (int token = emittedTokens; token < endToken; token++) {
            part.append('w').append(token).append(' ');
        }
        emittedTokens = endToken;
        text.append(part);
        if (eventStream) {
            write(event(Map.of("choices", List.of(Map.of("index", 0, "delta", Map.of("content", part.toString()))))));
        }
    }

    synchronized void complete(long nowMillis) {
        if (ended) {
            return;
        }
        if (eventStream) {
            write(event(Map.of("choices", List.of(), "usage", usage())));
            write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        } else {
            write(Json.write(Map.of(
                    "id",
                    id,
                    "object",
                    "chat.completion",
                    "model",
                    model,
                    "choices",
                    List.of(Map.of(
                            "index",
                            0,
                            "message",
                            Map.of("role", "assistant", "content", text.toString()),
                            "finish_reason",
                            "length")),
                    "usage",
                    usage())));
        }
        ended = true;
        endedAtMillis = nowMillis;
        readers.forEach(PublisherSource.Processor::onComplete);
        readers.clear();
    }

    private Map<String, Object> usage() {
        return Map.of(
                "prompt_tokens", promptTokens,
                "completion_tokens", outputTokens,
                "prompt_tokens_details", Map.of("cached_tokens", cachedTokens));
    }

    private byte[] event(Map<String, Object> value) {
        return ("data: " + new String(Json.write(value), StandardCharsets.UTF_8) + "\n\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    private void write(byte[] part) {
        output.writeBytes(part);
        readers.forEach(reader -> reader.onNext(allocator.wrap(part)));
    }

    synchronized void cancel(long nowMillis) {
        ended = true;
        endedAtMillis = nowMillis;
        readers.forEach(reader -> reader.onError(new IllegalStateException("stream " + id + " was cancelled")));
        readers.clear();
    }

    synchronized boolean endedBefore(long timeMillis) {
        return ended && endedAtMillis < timeMillis;
    }

    /** Returns the output from an offset to the end of the stream, including parts that are generated later. */
    synchronized Publisher<Buffer> read(int offsetBytes) {
        byte[] all = output.toByteArray();
        byte[] soFar = Arrays.copyOfRange(all, Math.min(offsetBytes, all.length), all.length);
        Publisher<Buffer> first = Publisher.from(allocator.wrap(soFar));
        if (ended) {
            return first;
        }
        PublisherSource.Processor<Buffer, Buffer> reader = Processors.newPublisherProcessor(MAX_BUFFERED_PARTS);
        readers.add(reader);
        return first.concat(SourceAdapters.fromSource(reader));
    }
}

package dev.wigeonward.gateway.caller;

import java.util.ArrayDeque;
import java.util.Map;

import dev.wigeonward.gateway.memory.ByteBudget;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;

/**
 * Messages that a caller sent while its earlier request was running, up to a number of bytes. Once they exceed it, all
 * of them and all later ones are discarded: none of these requests runs, and the connection cannot be used again.
 */
final class PipelinedMessages {
    /** Memory that a message takes besides its bytes, so that many small messages are bounded as well. */
    private static final int OVERHEAD_BYTES = 512;

    private final long maxBytes;
    private final ByteBudget.Hold hold;
    private final ArrayDeque<Object> messages = new ArrayDeque<>();
    private long bytes;
    private boolean exceeded;

    /** Creates an empty queue that keeps messages of at most the given number of bytes, as far as the budget allows. */
    PipelinedMessages(long maxBytes, ByteBudget budget) {
        this.maxBytes = maxBytes;
        this.hold = budget.open();
    }

    /** Adds a message and takes over its release. */
    void add(Object message) {
        bytes += size(message);
        exceeded |= bytes > maxBytes || !hold.tryResize(bytes);
        if (exceeded) {
            ReferenceCountUtil.release(message);
            discard();
            return;
        }
        messages.add(message);
    }

    /** Returns whether messages were discarded because they exceeded the limit. */
    boolean exceeded() {
        return exceeded;
    }

    private static long size(Object message) {
        if (message instanceof HttpContent content) {
            return OVERHEAD_BYTES + content.content().readableBytes();
        }
        if (message instanceof HttpRequest request) {
            long headerBytes = request.uri().length();
            for (Map.Entry<String, String> header : request.headers()) {
                headerBytes += header.getKey().length() + header.getValue().length();
            }
            return OVERHEAD_BYTES + headerBytes;
        }
        return OVERHEAD_BYTES;
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Returns the first message, which the caller releases, or null if there is none. */
    Object poll() {
        Object first = messages.poll();
        if (first != null) {
            bytes -= size(first);
            hold.tryResize(bytes);
        }
        return first;
    }

    /** Releases all messages. */
    void discard() {
        messages.forEach(ReferenceCountUtil::release);
        messages.clear();
        bytes = 0;
        hold.release();
    }
}

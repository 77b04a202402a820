package dev.wigeonward.gateway.memory;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;

/**
 * Bytes of answers that one caller has not read yet and the kernel has not taken, counted against the budget that all
 * callers share. Runs on the event loop.
 */
public final class UnreadOutput {
    /** Part of the budget from which each caller may only have the bytes of one read from its upstream unread. */
    private static final double SCARCE_PART = 0.5;

    private final Channel channel;
    private final ByteBudget budget;
    private final ByteBudget.Hold hold;

    private UnreadOutput(Channel channel, ByteBudget budget) {
        this.channel = channel;
        this.budget = budget;
        this.hold = budget.open();
    }

    /** Returns the unread output of the caller on a channel. */
    public static UnreadOutput of(Channel channel, ByteBudget budget) {
        return new UnreadOutput(channel, budget);
    }

    /**
     * Returns the bytes in a form that may be kept. If earlier bytes are unread, they are copied: small parts of the
     * buffers into which upstreams' answers are read would keep these buffers as a whole.
     */
    public ByteBuf kept(ByteBuf bytes) {
        if (pendingBytes() == 0) {
            return bytes;
        }
        ByteBuf copy = channel.alloc().directBuffer(bytes.readableBytes(), bytes.readableBytes());
        copy.writeBytes(bytes);
        bytes.release();
        return copy;
    }

    /** Counts what is unread now and returns whether the budget allows it. */
    public boolean tryHold() {
        return hold.tryResize(pendingBytes());
    }

    /** Returns whether the caller may be sent more now. */
    public boolean writable() {
        boolean scarce = budget.heldBytes() > SCARCE_PART * budget.maxBytes();
        return channel.isWritable() && !(scarce && pendingBytes() > 0);
    }

    /** Returns the number of unread bytes, with those that the channel needs to keep them. */
    public long pendingBytes() {
        WriteBufferWaterMark marks = channel.config().getWriteBufferWaterMark();
        if (!channel.isActive()) {
            return 0;
        }
        return channel.isWritable()
                ? Math.max(0, marks.high() + 1 - channel.bytesBeforeUnwritable())
                : marks.low() + channel.bytesBeforeWritable() - 1;
    }

    /** Gives all bytes back to the budget because the channel is closed. */
    public void release() {
        hold.release();
    }
}

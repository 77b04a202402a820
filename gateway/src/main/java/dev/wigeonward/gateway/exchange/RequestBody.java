package dev.wigeonward.gateway.exchange;

import dev.wigeonward.gateway.memory.ByteBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;

/**
 * Body of a caller's request, counted against the budget that all requests share. Received bytes are copied once into
 * blocks, so that neither the buffers of the socket nor the number of chunks make a body larger than its bytes. Runs on
 * the event loop.
 */
public final class RequestBody {
    private static final int BLOCK_BYTES = 65_536;

    private final ByteBufAllocator allocator;
    private final ByteBudget.Hold hold;
    private final CompositeByteBuf blocks;
    private long announcedBytes;
    private boolean released;

    private RequestBody(ByteBufAllocator allocator, ByteBudget budget) {
        this.allocator = allocator;
        this.hold = budget.open();
        this.blocks = allocator.compositeBuffer(Integer.MAX_VALUE);
    }

    /** Returns an empty body. */
    public static RequestBody create(ByteBufAllocator allocator, ByteBudget budget) {
        return new RequestBody(allocator, budget);
    }

    /** Reserves the announced length and returns true, or returns false if the budget does not allow it. */
    public boolean tryReserve(long lengthBytes) {
        announcedBytes = lengthBytes;
        return hold.tryResize(lengthBytes);
    }

    /** Appends a copy of the bytes and returns true, or returns false if the budget does not allow it. */
    public boolean tryAppend(ByteBuf bytes) {
        while (bytes.isReadable()) {
            int writableBytes = lastBlockWritableBytes();
            if (writableBytes == 0) {
                int blockBytes = blockBytes(bytes.readableBytes());
                if (!hold.tryResize(Math.max(hold.bytes(), blocks.capacity() + (long) blockBytes))) {
                    return false;
                }
                blocks.addComponent(
                        false, allocator.directBuffer(blockBytes, blockBytes).writerIndex(blockBytes));
                writableBytes = blockBytes;
            }
            int length = Math.min(writableBytes, bytes.readableBytes());
            blocks.writeBytes(bytes, length);
        }
        return true;
    }

    private int lastBlockWritableBytes() {
        return blocks.capacity() - blocks.writerIndex();
    }

    /** Returns the size of the next block: what is still announced, or else what has just arrived, within bounds. */
    private int blockBytes(int arrivedBytes) {
        long expectedBytes = Math.max(arrivedBytes, announcedBytes - blocks.writerIndex());
        boolean lengthKnown = announcedBytes > 0;
        long wantedBytes = lengthKnown || blocks.capacity() == 0 ? expectedBytes : BLOCK_BYTES;
        return (int) Math.min(BLOCK_BYTES, wantedBytes);
    }

    /** Returns the number of bytes of this body. */
    public int length() {
        return blocks.readableBytes();
    }

    /** Returns the bytes, which remain valid until {@link #release}. */
    ByteBuf bytes() {
        return blocks;
    }

    /** Releases the bytes and gives them back to the budget. Further calls have no effect. */
    public void release() {
        if (released) {
            return;
        }
        released = true;
        blocks.release();
        hold.release();
    }
}

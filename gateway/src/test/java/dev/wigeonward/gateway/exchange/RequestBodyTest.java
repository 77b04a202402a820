package dev.wigeonward.gateway.exchange;

import java.util.Random;

import dev.wigeonward.gateway.memory.ByteBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RequestBodyTest {
    private static final int BUDGET_BYTES = 8 << 20;

    private final ByteBudget budget = ByteBudget.of(BUDGET_BYTES);

    private RequestBody body() {
        return RequestBody.create(UnpooledByteBufAllocator.DEFAULT, budget);
    }

    private static boolean appendAll(RequestBody body, byte[] bytes, int chunkBytes) {
        for (int start = 0; start < bytes.length; start += chunkBytes) {
            ByteBuf chunk = Unpooled.wrappedBuffer(bytes, start, Math.min(chunkBytes, bytes.length - start));
            if (!body.tryAppend(chunk)) {
                return false;
            }
        }
        return true;
    }

    /** Guards against bytes that are lost or moved at the borders of blocks, with and without a known length. */
    @ParameterizedTest
    @CsvSource({"1,1,true", "800,800,true", "200000,16,true", "200000,16,false", "65536,65536,false", "65537,7,true"})
    void containsAppendedBytes(int lengthBytes, int chunkBytes, boolean lengthKnown) {
        byte[] bytes = new byte[lengthBytes];
        new Random(lengthBytes).nextBytes(bytes);
        RequestBody body = body();
        assertThat(body.tryReserve(lengthKnown ? lengthBytes : 0)).isTrue();

        assertThat(appendAll(body, bytes, chunkBytes)).isTrue();

        assertThat(body.length()).isEqualTo(lengthBytes);
        assertThat(ByteBufUtil.getBytes(body.bytes())).isEqualTo(bytes);
        body.release();
        assertThat(budget.heldBytes()).isZero();
    }

    /** Guards against small chunks that take much more memory than their bytes. */
    @Test
    void smallChunksTakeLittleMoreThanTheirBytes() {
        RequestBody body = body();

        assertThat(appendAll(body, new byte[1 << 20], 16)).isTrue();

        assertThat(body.bytes().capacity()).isLessThan((1 << 20) + (1 << 17));
        assertThat(budget.heldBytes()).isGreaterThanOrEqualTo(body.bytes().capacity());
        body.release();
    }

    @Test
    void announcedLengthBeyondBudgetIsRefusedBeforeItsBytes() {
        RequestBody body = body();

        assertThat(body.tryReserve(BUDGET_BYTES + 1L)).isFalse();

        body.release();
        assertThat(budget.heldBytes()).isZero();
    }

    @Test
    void bodyOfUnknownLengthIsRefusedOnceItExceedsTheBudget() {
        RequestBody body = body();

        assertThat(appendAll(body, new byte[BUDGET_BYTES], 60_000)).isFalse();

        body.release();
        assertThat(budget.heldBytes()).isZero();
    }

    @Test
    void emptyBodyHoldsNothing() {
        RequestBody body = body();
        body.tryReserve(0);

        assertThat(body.bytes().nioBuffers())
                .allSatisfy(part -> assertThat(part.remaining()).isZero());
        assertThat(budget.heldBytes()).isZero();
        body.release();
        body.release();
    }
}

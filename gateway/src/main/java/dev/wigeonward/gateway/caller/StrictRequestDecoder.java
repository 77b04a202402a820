package dev.wigeonward.gateway.caller;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * HTTP request decoder that rejects requests of ambiguous length and fires {@link Event#HEAD_BEGUN} when a part of a
 * head was received.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeaderBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setAllowDuplicateContentLengths(false)
                .setValidateHeaders(true));
    }

    /** User event of this decoder: the first bytes of a head were received, but not the whole head. */
    enum Event {
        HEAD_BEGUN
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        // Empty lines between requests are not part of a head.
        boolean begins = in.isReadable() && !Character.isISOControl(in.getByte(in.readerIndex()));
        super.decode(context, in, out);
        if (begins && out.isEmpty()) {
            context.fireUserEventTriggered(Event.HEAD_BEGUN);
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "request has both content-length and transfer-encoding, expected at most one of them");
    }
}

package dev.wigeonward.gateway.caller;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests, refuses those whose length can be read in two ways, and tells when a head has begun to come. */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeaderBytes)
                .setMaxHeaderSize(maxHeaderBytes)
                .setAllowDuplicateContentLengths(false)
                .setValidateHeaders(true));
    }

    /** The first bytes of a head came, and not yet all of it. */
    enum Event {
        HEAD_BEGUN
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        // Empty lines between requests are no part of a head.
        boolean begins = in.isReadable() && !Character.isISOControl(in.getByte(in.readerIndex()));
        super.decode(context, in, out);
        if (begins && out.isEmpty()) {
            context.fireUserEventTriggered(Event.HEAD_BEGUN);
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks are given");
    }
}

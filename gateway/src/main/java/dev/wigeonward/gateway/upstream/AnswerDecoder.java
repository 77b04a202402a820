package dev.wigeonward.gateway.upstream;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/** Decoder of the answers on a connection, which decodes no bytes while the connection carries no request. */
final class AnswerDecoder extends HttpResponseDecoder {
    private final UpstreamConnection connection;
    private boolean toHeadRequest;
    private boolean messageBegun;

    AnswerDecoder(HttpDecoderConfig config, UpstreamConnection connection) {
        super(config);
        this.connection = connection;
    }

    /** Sets whether the next answers are to a HEAD request, so that they have no body whatever their head states. */
    void setToHeadRequest(boolean isHeadRequest) {
        toHeadRequest = isHeadRequest;
    }

    /** Returns whether the beginning of another message follows the last decoded one. */
    boolean hasUndecodedBytes() {
        return messageBegun || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> decoded) throws Exception {
        int readableBytes = buffer.readableBytes();
        int decodedCount = decoded.size();
        super.decode(context, buffer, decoded);
        if (decoded.size() > decodedCount) {
            messageBegun = !(decoded.get(decoded.size() - 1) instanceof LastHttpContent);
        } else if (buffer.readableBytes() < readableBytes) {
            // The lines of a head are consumed one by one.
            messageBegun = true;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (connection.isIdle()) {
            // If these were kept, the rest could arrive behind the next request and complete an answer to it.
            ReferenceCountUtil.release(message);
            context.close();
            return;
        }
        super.channelRead(context, message);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return toHeadRequest || super.isContentAlwaysEmpty(message);
    }
}

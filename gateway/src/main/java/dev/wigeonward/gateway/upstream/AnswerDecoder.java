package dev.wigeonward.gateway.upstream;

import java.util.List;
import java.util.regex.Pattern;

import com.google.common.base.Preconditions;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Decoder of the answers on a connection, which decodes no bytes while the connection carries no request. A head whose
 * status line is not HTTP becomes a message with a failed decoder result.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    /** Version of a status line; a recipient handles later minor versions of HTTP/1 as the highest that it knows. */
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");
    /** Status of an answer. The number alone does not show leading zeros, with which {@code 00200} reads as 200. */
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

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
    protected HttpMessage createMessage(String[] statusLine) {
        checkPart("version", VERSION, statusLine[0]);
        checkPart("status", STATUS, statusLine[1]);
        return super.createMessage(statusLine);
    }

    private static void checkPart(String name, Pattern expected, String part) {
        Preconditions.checkArgument(
                expected.matcher(part).matches(), "%s of the status line is '%s', expected %s", name, part, expected);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return toHeadRequest || super.isContentAlwaysEmpty(message);
    }
}

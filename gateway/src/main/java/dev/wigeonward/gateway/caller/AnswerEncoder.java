package dev.wigeonward.gateway.caller;

import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpUtil;

/** Encoder of answers that knows whether the request allows a body. */
final class AnswerEncoder extends HttpResponseEncoder {
    private boolean toHeadRequest;

    /** Sets whether the next answers are to a HEAD request. They are sent without their bodies. */
    void setToHeadRequest(boolean isHeadRequest) {
        toHeadRequest = isHeadRequest;
    }

    /** Returns the number of bytes of an answer's body by its stated length, or empty if it states none. */
    OptionalLong bodyLength(HttpResponse answer) {
        if (isContentAlwaysEmpty(answer)) {
            return OptionalLong.of(0);
        }
        return HttpUtil.isContentLengthSet(answer)
                ? OptionalLong.of(HttpUtil.getContentLength(answer))
                : OptionalLong.empty();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse answer) {
        return toHeadRequest || super.isContentAlwaysEmpty(answer);
    }
}

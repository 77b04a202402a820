package dev.wigeonward.gateway.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encoder of answers that knows whether the request allows a body. */
final class AnswerEncoder extends HttpResponseEncoder {
    private boolean toHeadRequest;

    /** Sets whether the next answers are to a HEAD request. They are sent without their bodies. */
    void setToHeadRequest(boolean isHeadRequest) {
        toHeadRequest = isHeadRequest;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse answer) {
        return toHeadRequest || super.isContentAlwaysEmpty(answer);
    }
}

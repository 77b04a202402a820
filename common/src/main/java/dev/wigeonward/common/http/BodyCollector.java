package dev.wigeonward.common.http;

import java.io.ByteArrayOutputStream;

import com.google.common.base.Preconditions;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.StreamingHttpRequest;

/** Collector of a request body up to a limit. Buffers beyond the limit are counted and dropped. */
public final class BodyCollector {
    private final int limitBytes;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private long totalBytes;

    private BodyCollector(int limitBytes) {
        Preconditions.checkArgument(limitBytes >= 0, "limitBytes is %s, expected 0 or more", limitBytes);
        this.limitBytes = limitBytes;
    }

    /** Collects the body of a request and completes when all of it has arrived. */
    public static Single<BodyCollector> collect(StreamingHttpRequest request, int limitBytes) {
        return request.payloadBody().collect(() -> new BodyCollector(limitBytes), BodyCollector::add);
    }

    private BodyCollector add(Buffer buffer) {
        int lengthBytes = buffer.readableBytes();
        totalBytes += lengthBytes;
        if (totalBytes <= limitBytes) {
            byte[] part = new byte[lengthBytes];
            buffer.readBytes(part);
            bytes.writeBytes(part);
        }
        return this;
    }

    /** Returns whether the body exceeded the limit. */
    public boolean isLimitExceeded() {
        return totalBytes > limitBytes;
    }

    /** Returns the collected bytes: the whole body unless it exceeded the limit. */
    public byte[] toByteArray() {
        return bytes.toByteArray();
    }
}

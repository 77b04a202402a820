package dev.wigeonward.core.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.DispatchId;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** One execution of a request at the upstream, with the readers of its output. */
final class Run {
    /** Progress of a run. */
    enum Phase {
        QUEUED,
        RUNNING,
        ENDED
    }

    final RequestSpec request;
    final Map<RequestId, Reader> readers = new LinkedHashMap<>();
    Phase phase = Phase.QUEUED;
    long producedBytes;
    long trimmedBytes;
    long endedAtMillis;
    private Failure failure;

    Run(RequestSpec request) {
        this.request = request;
    }

    RequestId id() {
        return request.id();
    }

    Optional<Failure> failure() {
        return Optional.ofNullable(failure);
    }

    void end(Failure endFailure, long nowMillis) {
        phase = Phase.ENDED;
        failure = endFailure;
        endedAtMillis = nowMillis;
    }

    /** Returns whether all output is stored, which a run with a key needs for callers that send the key again. */
    boolean keepsAllOutput() {
        return request.key().isPresent();
    }

    /** Position of one request, and of the entry that sent it, in the output of a run. */
    static final class Reader {
        /** Link number of a detached reader, whose link was lost. */
        static final long NO_LINK = -1;

        final RequestId request;
        DispatchId dispatch;
        long link;
        long sentBytes;
        long acknowledgedBytes;
        long detachedAtMillis;
        boolean endSent;

        Reader(RequestId request, DispatchId dispatch, long link) {
            this.request = request;
            this.dispatch = dispatch;
            this.link = link;
        }

        boolean attached() {
            return link != NO_LINK;
        }
    }
}

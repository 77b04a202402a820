package dev.wigeonward.agent.upstream;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.order.Order;
import dev.wigeonward.core.request.RequestId;

/** A client of one upstream. All results are passed to listeners, which are called on any thread. */
public interface UpstreamClient extends AutoCloseable {
    /** Submits a request, which is sent at most once. */
    void submit(UpstreamRequest request, AnswerListener listener);

    /** Cancels a request. Has no effect for a plain service, which cannot cancel. */
    void cancel(RequestId id);

    /**
     * Cancels all requests that an earlier incarnation of the agent left running. Has no effect for a plain service.
     */
    void cancelAll();

    /** Executes an order. The listener receives an empty text on success, and the reason of the failure otherwise. */
    void executeOrder(Order order, Consumer<String> listener);

    /** Checks whether the upstream answers. */
    void probe(Consumer<ProbeResult> listener);

    /** Requests the cache events after a sequence number. The listener is not called for a plain service. */
    void fetchCacheEvents(long afterSequence, Consumer<CacheEvents> listener);

    @Override
    void close();

    /**
     * Changes of an engine's prefix cache. They are reported with a delay, and some may be missing.
     *
     * @param lastSequence sequence number of the newest event
     */
    record CacheEvents(long lastSequence, List<Long> cachedPrefixes, List<Long> evictedPrefixes) {
        public CacheEvents {
            cachedPrefixes = List.copyOf(cachedPrefixes);
            evictedPrefixes = List.copyOf(evictedPrefixes);
        }
    }

    /** Receives the answer to one request. */
    interface AnswerListener {
        /**
         * Returns whether the request may still be sent. Asked on an I/O thread when its connection is available; if
         * not, {@link #onNotSent} is called.
         */
        default boolean maySend() {
            return true;
        }

        /** Called when status and headers arrive. */
        void onHead(int status, List<Map.Entry<String, String>> headers);

        /** Called for each part of the body. */
        void onOutput(byte[] part);

        /** Called when the body is complete. */
        void onFinished();

        /** Called if the answer was not completed although the upstream received, or may have received, the request. */
        void onFailed(Failure failure);

        /** Called if the upstream certainly never received the request. */
        void onNotSent(Failure failure);
    }

    /** The result of a probe. */
    sealed interface ProbeResult {
        /**
         * The upstream answers. A changed instance shows that it was restarted.
         *
         * @param versions versions that an engine has loaded; empty if the upstream does not report any
         */
        record Alive(String instance, Set<String> versions) implements ProbeResult {
            public Alive {
                versions = Set.copyOf(versions);
            }
        }

        /** The upstream does not answer. */
        record Dead(String reason) implements ProbeResult {}
    }
}

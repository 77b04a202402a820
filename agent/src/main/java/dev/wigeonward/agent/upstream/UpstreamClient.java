package dev.wigeonward.agent.upstream;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.order.Order;
import dev.wigeonward.core.request.RequestId;

/** Calls to one upstream; all answers come through listeners, in any thread. */
public interface UpstreamClient extends AutoCloseable {
    /** Hands a request over, once. */
    void submit(UpstreamRequest request, AnswerListener listener);

    /** Stops a request; a plain service cannot stop one and ignores the call. */
    void cancel(RequestId id);

    /** Stops what an earlier incarnation of the agent left running. */
    void cancelAll();

    /** Carries out an order; the listener gets an empty text on success and the reason of a failure otherwise. */
    void order(Order order, Consumer<String> listener);

    /** Checks whether the upstream answers. */
    void probe(Consumer<ProbeResult> listener);

    /** Asks for the cache events after a sequence number; the listener is not called if the upstream has none. */
    void cacheEvents(long afterSequence, Consumer<CacheEvents> listener);

    @Override
    void close();

    /**
     * Changes of an engine's prefix cache; they come late, and some may be missing.
     *
     * @param lastSequence sequence number of the newest event
     */
    record CacheEvents(long lastSequence, List<Long> cachedPrefixes, List<Long> evictedPrefixes) {
        public CacheEvents {
            cachedPrefixes = List.copyOf(cachedPrefixes);
            evictedPrefixes = List.copyOf(evictedPrefixes);
        }
    }

    /** Hears the answer to one request. */
    interface AnswerListener {
        /** Status and headers arrived. */
        void onHead(int status, List<Map.Entry<String, String>> headers);

        /** A part of the body arrived. */
        void onOutput(byte[] part);

        /** The body is complete. */
        void onFinished();

        /** The upstream got the request, or may have, and did not complete the answer. */
        void onFailed(Failure failure);

        /** The upstream never saw the request. */
        void onUnreached(Failure failure);
    }

    /** Outcome of a probe. */
    sealed interface ProbeResult {
        /**
         * The upstream answers. A changed instance means that it was restarted.
         *
         * @param versions versions in the memory of an engine; empty if the upstream does not say
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

package dev.wigeonward.gateway.upstream;

import io.netty.util.collection.IntObjectHashMap;
import io.netty.util.collection.IntObjectMap;

/**
 * Identifiers of the requests that a connection has carried. Only their hash codes are kept, so that its size does not
 * depend on the length of the identifiers; one that was not carried may therefore be taken for one that was.
 */
final class RequestIdHistory {
    private static final int INITIAL_CAPACITY = 8;

    private final IntObjectMap<Boolean> hashCodes = new IntObjectHashMap<>(INITIAL_CAPACITY);

    /** Adds an identifier and returns whether it may have been added before. */
    boolean add(String id) {
        return hashCodes.put(id.hashCode(), Boolean.TRUE) != null;
    }

    /** Returns whether an identifier may have been added; never false for one that was. */
    boolean mayContain(String id) {
        return hashCodes.containsKey(id.hashCode());
    }
}

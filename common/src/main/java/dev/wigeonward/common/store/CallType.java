package dev.wigeonward.common.store;

import java.util.Locale;

/** Type of a call to the key-value service, with its path and the budget that it counts against. */
enum CallType {
    RANGE("/v3/kv/range", false),
    TXN("/v3/kv/txn", true),
    LEASE_GRANT("/v3/lease/grant", true),
    LEASE_KEEP_ALIVE("/v3/lease/keepalive", true),
    LEASE_REVOKE("/v3/lease/revoke", true),
    WATCH("/v3/watch", false);

    private final String path;
    private final boolean write;

    CallType(String path, boolean write) {
        this.path = path;
        this.write = write;
    }

    /** Returns the HTTP path of the call. */
    String path() {
        return path;
    }

    /** Returns whether the call counts against the write budget; other calls count against the read budget. */
    boolean isWrite() {
        return write;
    }

    /** Returns the name of the metric that counts the sent calls of this type. */
    String counterName() {
        return "store.calls." + name().toLowerCase(Locale.ROOT);
    }
}

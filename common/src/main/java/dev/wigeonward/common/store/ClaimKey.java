package dev.wigeonward.common.store;

import java.nio.charset.StandardCharsets;

import com.google.common.base.Preconditions;
import com.google.common.hash.Hashing;

/** Identifies a claim: a workspace and the SHA-256 of the caller's idempotency key in hexadecimal digits. */
public record ClaimKey(String workspace, String keyHash) {
    private static final String ROOT = "/wigeonward/claims/";

    public ClaimKey {
        Preconditions.checkArgument(!workspace.isEmpty() && workspace.indexOf('/') < 0, "workspace is '%s'", workspace);
        Preconditions.checkArgument(keyHash.matches("[0-9a-f]{64}"), "hash is %s", keyHash);
    }

    /** Returns the claim key of an idempotency key as the caller sent it. */
    public static ClaimKey of(String workspace, String idempotencyKey) {
        return new ClaimKey(
                workspace,
                Hashing.sha256()
                        .hashString(idempotencyKey, StandardCharsets.UTF_8)
                        .toString());
    }

    /** Returns the key in the store. */
    public String path() {
        return ROOT + workspace + "/" + keyHash;
    }
}

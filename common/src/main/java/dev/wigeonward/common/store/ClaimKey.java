package dev.wigeonward.common.store;

import java.nio.charset.StandardCharsets;

import com.google.common.base.Preconditions;
import com.google.common.hash.Hashing;

/**
 * Identifier of a claim.
 *
 * @param workspace name of the workspace, without a slash
 * @param keyHash SHA-256 of the caller's idempotency key in 64 lower-case hexadecimal digits
 */
public record ClaimKey(String workspace, String keyHash) {
    private static final String ROOT = "/wigeonward/claims/";

    public ClaimKey {
        Preconditions.checkArgument(
                !workspace.isEmpty() && workspace.indexOf('/') < 0,
                "workspace is '%s', expected a name without a slash",
                workspace);
        Preconditions.checkArgument(
                keyHash.matches("[0-9a-f]{64}"), "keyHash is '%s', expected 64 lower-case hexadecimal digits", keyHash);
    }

    /** Returns the claim key for an idempotency key as the caller sent it. */
    public static ClaimKey of(String workspace, String idempotencyKey) {
        return new ClaimKey(
                workspace,
                Hashing.sha256()
                        .hashString(idempotencyKey, StandardCharsets.UTF_8)
                        .toString());
    }

    /** Returns the key under which the store holds the claim. */
    public String storeKey() {
        return ROOT + workspace + "/" + keyHash;
    }
}

package dev.wigeonward.core.revision;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

import com.google.common.base.Preconditions;
import com.google.common.hash.Hashing;

/**
 * One numbered text of the rules. The hash is what the sender claims; {@link #verifies()} compares it with the text.
 *
 * @param number position in the sequence of accepted revisions, counted from 1
 * @param hash SHA-256 hash of the text in UTF-8, in lower-case hex digits
 * @param appliedBy operator who applied it; empty when the revision came over a link, which does not carry it
 * @param reason why it was applied; empty when the revision came over a link
 */
public record Revision(long number, String hash, String text, String appliedBy, String reason) {
    public Revision {
        Preconditions.checkArgument(number > 0, "number is %s", number);
        Objects.requireNonNull(hash, "hash");
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(appliedBy, "appliedBy");
        Objects.requireNonNull(reason, "reason");
    }

    /** Returns a revision with the hash of its text. */
    public static Revision of(long number, String text, String appliedBy, String reason) {
        return new Revision(number, hashOf(text), text, appliedBy, reason);
    }

    static Revision relayed(long number, String hash, String text) {
        return new Revision(number, hash, text, "", "");
    }

    /** Returns the SHA-256 hash of the text in UTF-8, in lower-case hex digits. */
    public static String hashOf(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    /** Returns whether the hash is the hash of the text; takes time linear in the text's length. */
    public boolean verifies() {
        return hashOf(text).equals(hash);
    }
}

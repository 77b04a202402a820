package dev.wigeonward.core.revision;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

import com.google.common.base.Preconditions;
import com.google.common.hash.Hashing;

/**
 * A numbered version of the rules text. The hash is the one sent or stored with the text and may be wrong; {@link
 * #hashMatchesText()} compares it with the text.
 *
 * @param number position in the sequence of accepted revisions, starting at 1
 * @param hash SHA-256 hash of the text in UTF-8, in lower-case hex digits
 * @param appliedBy operator who applied the revision; empty if it came over a link, which does not carry this field
 * @param reason reason given by the operator; empty if the revision came over a link
 */
public record Revision(long number, String hash, String text, String appliedBy, String reason) {
    public Revision {
        Preconditions.checkArgument(number > 0, "revision number must be positive, got %s", number);
        Objects.requireNonNull(hash, "hash");
        Objects.requireNonNull(text, "text");
        Objects.requireNonNull(appliedBy, "appliedBy");
        Objects.requireNonNull(reason, "reason");
    }

    /** Returns a revision whose hash is computed from its text. */
    public static Revision of(long number, String text, String appliedBy, String reason) {
        return new Revision(number, hashOf(text), text, appliedBy, reason);
    }

    /** Returns a revision received over a link, with the hash that the peer sent. */
    static Revision receivedFromPeer(long number, String hash, String text) {
        return new Revision(number, hash, text, "", "");
    }

    /** Returns the SHA-256 hash of the text in UTF-8, in lower-case hex digits. */
    public static String hashOf(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    /** Returns whether the hash matches the text; takes time linear in the length of the text. */
    public boolean hashMatchesText() {
        return hashOf(text).equals(hash);
    }
}

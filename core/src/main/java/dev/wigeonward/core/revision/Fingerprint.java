package dev.wigeonward.core.revision;

import java.util.List;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;

/**
 * Calculator of a 64-bit fingerprint of a sequence of fields. Strings are preceded by their length, so that different
 * sequences never give the same input; the fingerprints of different inputs are equal with a probability of 2^-64. Not
 * thread-safe.
 */
public final class Fingerprint {
    private final Hasher hasher = Hashing.murmur3_128().newHasher();

    private Fingerprint() {}

    /** Returns a calculator without fields. */
    public static Fingerprint start() {
        return new Fingerprint();
    }

    /** Adds a string. */
    public Fingerprint add(String text) {
        hasher.putInt(text.length()).putUnencodedChars(text);
        return this;
    }

    /** Adds a number. */
    public Fingerprint add(long number) {
        hasher.putLong(number);
        return this;
    }

    /** Adds a boolean. */
    public Fingerprint add(boolean flag) {
        hasher.putBoolean(flag);
        return this;
    }

    /** Adds the fields of all elements, preceded by their number. The order of the elements counts. */
    public <T> Fingerprint addAll(List<T> elements, Fields<T> fields) {
        hasher.putInt(elements.size());
        elements.forEach(element -> fields.addTo(this, element));
        return this;
    }

    /** Returns the fingerprint, which is never 0. May be called once. */
    public long value() {
        long hash = hasher.hash().asLong();
        return hash == 0 ? 1 : hash;
    }

    /** Selection of the fields of an element. */
    @FunctionalInterface
    public interface Fields<T> {
        /** Adds the fields of the element, always the same number of them. */
        void addTo(Fingerprint fingerprint, T element);
    }
}

package dev.wigeonward.core.rules;

import com.google.common.base.Preconditions;

/** A path, or all paths that start with a prefix when the text ends in {@code *}. */
public record PathPattern(String text) {
    private static final String WILDCARD = "*";

    public PathPattern {
        Preconditions.checkArgument(text.startsWith("/"), "path is %s", text);
    }

    /** Returns whether the path, without its query, fits the pattern. */
    public boolean matches(String path) {
        return isPrefix() ? path.startsWith(prefix()) : path.equals(text);
    }

    boolean covers(PathPattern other) {
        return isPrefix() ? other.prefix().startsWith(prefix()) : text.equals(other.text);
    }

    boolean isPrefix() {
        return text.endsWith(WILDCARD);
    }

    /** Returns the text that every matching path starts with. */
    String prefix() {
        return isPrefix() ? text.substring(0, text.length() - WILDCARD.length()) : text;
    }
}

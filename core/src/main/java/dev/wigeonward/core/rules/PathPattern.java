package dev.wigeonward.core.rules;

import com.google.common.base.Preconditions;

/** A pattern that matches one path, or all paths that start with a prefix if the text ends in {@code *}. */
public record PathPattern(String text) {
    private static final String WILDCARD = "*";

    public PathPattern {
        Preconditions.checkArgument(text.startsWith("/"), "path pattern must start with a slash, got %s", text);
    }

    /** Returns whether the pattern matches the path, which must not include a query. */
    public boolean matches(String path) {
        return isPrefix() ? path.startsWith(prefix()) : path.equals(text);
    }

    /** Returns whether this pattern matches every path that the other one matches. */
    boolean covers(PathPattern other) {
        return isPrefix() ? other.prefix().startsWith(prefix()) : text.equals(other.text);
    }

    /** Returns whether the pattern matches all paths with a prefix. */
    boolean isPrefix() {
        return text.endsWith(WILDCARD);
    }

    /** Returns the text without the wildcard, with which every matching path starts. */
    String prefix() {
        return isPrefix() ? text.substring(0, text.length() - WILDCARD.length()) : text;
    }
}

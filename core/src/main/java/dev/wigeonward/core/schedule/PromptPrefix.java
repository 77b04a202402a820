package dev.wigeonward.core.schedule;

import com.google.common.base.Preconditions;

/**
 * Leading part of a prompt that other prompts may share.
 *
 * @param hash hash of the prefix with the model that reads it; equal prefixes have equal hashes
 * @param tokens number of tokens from the start of the prompt
 */
public record PromptPrefix(long hash, int tokens) {
    public PromptPrefix {
        Preconditions.checkArgument(tokens >= 0, "tokens is %s, expected no negative number", tokens);
    }
}

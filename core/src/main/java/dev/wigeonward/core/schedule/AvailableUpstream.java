package dev.wigeonward.core.schedule;

/**
 * Upstream that may serve a request and has a slot for it now.
 *
 * @param keptTokens tokens of the prompt of the request that the upstream keeps, as far as known
 */
public record AvailableUpstream(UpstreamLoad load, int keptTokens) {}

package dev.wigeonward.core.deployment;

/**
 * A service that routes name.
 *
 * @param healthPath path that answers 200 while an upstream is sound
 * @param maxConnections connections that one upstream accepts from all callers together
 */
public record ServiceDescription(String name, String healthPath, int maxConnections) {}

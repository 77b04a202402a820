/** Operator configuration of the gateway: routes, workspaces and the limits on callers. */
package dev.wigeonward.core.deployment;

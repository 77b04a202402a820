/** Operator configuration of the direct path: routes, tenants and the limits on callers. */
package dev.wigeonward.core.deployment;

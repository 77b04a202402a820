/** Policies that choose an upstream for a request, and the state on which they base the choice. */
package dev.wigeonward.core.placement;

/** Choice of an upstream for a request. */
package dev.wigeonward.core.placement;

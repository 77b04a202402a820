/**
 * Exchange of load, tenant usage, learned speeds, facts and the view of the store between entries on the direct path.
 */
package dev.wigeonward.gateway.peer;

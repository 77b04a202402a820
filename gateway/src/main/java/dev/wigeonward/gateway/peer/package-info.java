/**
 * Synchronization of load, workspace usage, observed unit times, facts and the view of the store between entries.
 */
package dev.wigeonward.gateway.peer;

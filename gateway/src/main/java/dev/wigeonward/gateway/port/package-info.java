/**
 * Interfaces that the adapter of a platform implements for the gateway: headers, view of the store, and store
 * operations of the rollout controller.
 */
package dev.wigeonward.gateway.port;

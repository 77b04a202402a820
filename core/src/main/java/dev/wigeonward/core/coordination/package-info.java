/**
 * Coordination of the entries' queues: one entry, the coordinator of a service, orders the waiting requests of all
 * entries and places them, while each entry still sends its own requests.
 */
package dev.wigeonward.core.coordination;

/** Threads that consume bounded queues, and schedulers on daemon threads. */
package dev.wigeonward.common.ring;

/** Queues of an agent in front of an engine that does not support priorities. */
package dev.wigeonward.core.engine;

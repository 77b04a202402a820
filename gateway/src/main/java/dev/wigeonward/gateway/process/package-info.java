/** Start, settings, draining and stop of a process on the direct path. */
package dev.wigeonward.gateway.process;

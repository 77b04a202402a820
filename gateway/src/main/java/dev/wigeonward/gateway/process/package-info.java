/** Start, settings, drain and stop of a process on the direct path. */
package dev.wigeonward.gateway.process;

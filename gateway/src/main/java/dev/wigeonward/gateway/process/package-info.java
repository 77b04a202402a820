/** Start, settings, draining and stop of a gateway process. */
package dev.wigeonward.gateway.process;

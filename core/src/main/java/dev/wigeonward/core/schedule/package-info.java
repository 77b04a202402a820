/** Queueing and placement of requests that an entry sends directly to upstreams, based on observed upstream speeds. */
package dev.wigeonward.core.schedule;

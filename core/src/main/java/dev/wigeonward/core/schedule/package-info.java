/** Queueing and placement of requests that an entry sends to upstreams itself, with learned speeds. */
package dev.wigeonward.core.schedule;

/** Policies that state when refused callers should come back. */
package dev.wigeonward.core.schedule.retry;

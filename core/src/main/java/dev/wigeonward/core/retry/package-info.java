/** Limit on retries of requests that did not run. */
package dev.wigeonward.core.retry;

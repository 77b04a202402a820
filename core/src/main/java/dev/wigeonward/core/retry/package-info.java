/** Limits on the rate of retries of requests that did not run. */
package dev.wigeonward.core.retry;

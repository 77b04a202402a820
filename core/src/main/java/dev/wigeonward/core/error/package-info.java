/** Error kinds and the answers that callers are sent for them. */
package dev.wigeonward.core.error;

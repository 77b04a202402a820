/** Event boundaries of streamed answers. */
package dev.wigeonward.core.stream;

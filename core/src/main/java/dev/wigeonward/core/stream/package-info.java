/** Detection of event boundaries in streamed answers. */
package dev.wigeonward.core.stream;

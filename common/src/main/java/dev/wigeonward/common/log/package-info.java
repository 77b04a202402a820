/**
 * Configuration of structured logging. Code logs through {@link java.lang.System.Logger}; SLF4J forwards the events to
 * Logback, which writes one JSON object per line to standard error or standard output.
 */
package dev.wigeonward.common.log;

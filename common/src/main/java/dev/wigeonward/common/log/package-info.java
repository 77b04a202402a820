/**
 * Structured logs. Code logs through {@link java.lang.System.Logger}; SLF4J passes the lines to Logback, which writes
 * one JSON object per line to standard error or output.
 */
package dev.wigeonward.common.log;

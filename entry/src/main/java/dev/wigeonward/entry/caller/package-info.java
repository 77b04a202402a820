/** The HTTP interface to callers: limits, classification, answers and errors. */
package dev.wigeonward.entry.caller;

/** The entry process: takes callers' requests and sends them to agents. */
package dev.wigeonward.entry;

/** The entry process, which accepts callers' requests and dispatches them to agents. */
package dev.wigeonward.entry;

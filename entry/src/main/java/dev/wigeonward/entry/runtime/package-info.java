/** The decision thread of an entry: events in, effects out. */
package dev.wigeonward.entry.runtime;

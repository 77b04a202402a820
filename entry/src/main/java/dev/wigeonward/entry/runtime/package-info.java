/** The decision thread of an entry, which handles events and carries out their effects. */
package dev.wigeonward.entry.runtime;

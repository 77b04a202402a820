/** The operator commands: check, diff, apply, history and rollback of rules, and the status of entries. */
package dev.wigeonward.entry.command;

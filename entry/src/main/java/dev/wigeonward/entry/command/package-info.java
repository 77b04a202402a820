/** The operators' commands on the rules: check, diff, apply, history and rollback. */
package dev.wigeonward.entry.command;

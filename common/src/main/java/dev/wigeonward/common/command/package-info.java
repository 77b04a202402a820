/** Command-line parsing, and commands that both binaries share. */
package dev.wigeonward.common.command;

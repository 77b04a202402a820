/** What the command lines of both binaries share. */
package dev.wigeonward.common.command;

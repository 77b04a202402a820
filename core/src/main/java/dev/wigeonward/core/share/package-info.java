/** Accounting of the engine time that workspaces use, by which waiting requests are served in fair shares. */
package dev.wigeonward.core.share;

/** The agent process: runs beside one upstream and decides what it gets. */
package dev.wigeonward.agent;

/** The agent process, which runs beside one upstream and schedules the requests to it. */
package dev.wigeonward.agent;

/** The agent's queue in front of an engine that knows no priority. */
package dev.wigeonward.core.engine;

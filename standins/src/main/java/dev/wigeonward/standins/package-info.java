/** Stand-ins for the systems around wigeonward, each run as a separate process, and a load generator. */
package dev.wigeonward.standins;

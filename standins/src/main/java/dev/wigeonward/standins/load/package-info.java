/** Open-loop load on HTTP addresses, with latencies as histograms. */
package dev.wigeonward.standins.load;

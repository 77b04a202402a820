/** Generator of open-loop HTTP load that records latency histograms. */
package dev.wigeonward.standins.load;

/** Stand-in for the platform's VM list, with a configurable lag. */
package dev.wigeonward.standins.vms;

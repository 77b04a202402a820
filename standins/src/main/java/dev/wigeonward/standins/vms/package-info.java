/** Stand-in of the platform's list of VMs, with a lag. */
package dev.wigeonward.standins.vms;

/** Client of the platform's list of live and leaving VMs; the list lags behind the actual state. */
package dev.wigeonward.common.vms;

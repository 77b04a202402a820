/** The platform's list of live and leaving VMs, which lags. */
package dev.wigeonward.common.vms;

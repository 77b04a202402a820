/** The key-value service: port, etcd v3 client, durable claims and the controller lease. */
package dev.wigeonward.common.store;

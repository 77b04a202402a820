/**
 * Interface of the key-value service, its etcd v3 client, durable claims, operators' revisions and controller lease.
 */
package dev.wigeonward.common.store;

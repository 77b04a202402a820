/** Stand-in of the key-value service: etcd v3's HTTP/JSON interface in memory, with switches for faults. */
package dev.wigeonward.standins.kv;

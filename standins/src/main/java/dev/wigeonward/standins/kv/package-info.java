/** In-memory stand-in for the key-value service with the HTTP/JSON interface of etcd v3 and injectable faults. */
package dev.wigeonward.standins.kv;

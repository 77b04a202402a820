/** HTTP utilities on top of ServiceTalk: bounded bodies, JSON, the admin server, and clients for a single address. */
package dev.wigeonward.common.http;

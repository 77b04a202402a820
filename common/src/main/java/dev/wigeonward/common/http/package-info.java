/** Small helpers over ServiceTalk's HTTP: bounded bodies, JSON answers, the admin server, clients of one address. */
package dev.wigeonward.common.http;

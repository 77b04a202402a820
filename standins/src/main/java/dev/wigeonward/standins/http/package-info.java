/** HTTP server of the stand-ins for the platform's services, and an HTTP client. */
package dev.wigeonward.standins.http;

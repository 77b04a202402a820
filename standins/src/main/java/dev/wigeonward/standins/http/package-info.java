/** HTTP server shared by the stand-ins of the platform's services. */
package dev.wigeonward.standins.http;

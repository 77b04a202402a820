/** Stand-in for a plain service with calls that may not be repeated. */
package dev.wigeonward.standins.service;

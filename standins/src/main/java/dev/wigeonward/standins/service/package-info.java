/** Stand-in for a plain HTTP service whose calls must not be repeated. */
package dev.wigeonward.standins.service;
